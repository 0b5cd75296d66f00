//! The cases.

use crate::deploy::{Deployment, Plan};
use crate::store::Limits;
use crate::world::{Job, MachineType, Shared, Times};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a case found.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

use Outcome::{Broken, CouldNotRun, Held};

pub fn play(case: &str, root: &Path, folder: &Path, trouble: bool) -> i32 {
    let (plan, test): (Plan, fn(&mut Deployment, bool) -> Outcome) = match case {
        "quarantined" => (choir(vec![("maqam", "qahira", false)]), quarantined),
        "blocked" => (choir_of_three(), blocked),
        "crowded" => (Plan { machines: vec![("forno-grande", "serra", false)], ..bakery() }, crowded),
        "pipelines" => (choir_without_room(), pipelines),
        "called_queued" => (choir([("maqam", "qahira", false), ("maqam", "iskandariya", false)].repeat(2)), called_queued),
        "explore" => (crate::explore::plan(), crate::explore::play),
        _ => {
            println!("no such case: {case}");
            return 2;
        }
    };
    let begun = std::time::Instant::now();
    let mut deployment = Deployment::start(&plan, root);
    let mut up = deployment.wait_until_up();
    for _ in 0..2 {
        if up {
            break;
        }
        // Another program may have taken one of the ports meanwhile: once more, with others.
        deployment.end();
        deployment = Deployment::start(&plan, root);
        up = deployment.wait_until_up();
    }
    if case != "explore" && hold() < 100.0 {
        let (world, own) = (deployment.world.clone(), deployment.folder.clone());
        crate::deploy::limit(118 - begun.elapsed().as_secs(), world, folder.join("record.txt"), own);
    }
    let mut outcome = if up { test(&mut deployment, trouble) } else { CouldNotRun("the controllers are not up".into()) };
    let ended = deployment.ended();
    deployment.end();
    let broken = deployment.locked(|world| world.broken.clone());
    if let Some(first) = broken.first() {
        outcome = Broken(first.clone());
    }
    if !ended.is_empty() {
        deployment.note(format!("controllers that ended by themselves: {ended:?}"));
    }
    let (status, line) = match outcome {
        Held => (0, "the rule held".to_owned()),
        Broken(why) => (1, format!("the rule was broken: {why}")),
        CouldNotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    deployment.note(line.clone());
    let record = deployment.locked(|world| world.record.join("\n"));
    let _ = std::fs::write(folder.join("record.txt"), record + "\n");
    println!("{case}, trouble {trouble}: {line}");
    status
}

/// The machine types of panifica-sul.
fn bakery_types() -> Vec<MachineType> {
    let kind = |name, cores, accelerators, ram_gb, hourly, spot_price, boot_s, zones| MachineType {
        name, cores, accelerators, ram_gb, hourly, spot_price, boot_s, cache_gb: 35.0, fetch_gb_per_s: 0.25, zones,
    };
    vec![
        kind("forninho", 4.0, 0.0, 16.0, 0.22, 0.09, 50.0, &["serra", "litoral"] as &[&str]),
        kind("masseira", 24.0, 4.0, 96.0, 10.25, 3.96, 45.0, &["litoral"]),
        kind("forno-grande", 64.0, 8.0, 256.0, 23.96, 9.87, 50.0, &["serra", "litoral"]),
    ]
}

/// panifica-sul with one team and a few machines up at the start.
pub fn bakery() -> Plan {
    Plan {
        controllers: 3,
        zones: &["serra", "litoral"],
        teams: vec![("equipe-plantao-00", 0.0, 0.0, 8.0, 35.0)],
        types: bakery_types(),
        capacity: BTreeMap::from([
            (("forninho", "serra", false), 18),
            (("forninho", "litoral", false), 14),
            (("forninho", "serra", true), 7),
            (("forninho", "litoral", true), 5),
            (("masseira", "litoral", false), 1),
            (("forno-grande", "serra", false), 2),
            (("forno-grande", "litoral", false), 1),
        ]),
        machines: vec![("forninho", "serra", false), ("forninho", "serra", false)],
        times: Times { report_s: 3.0, lease_s: 26.0, gang_wait_s: 35.0, gang_peer_s: 5.0, cancel_s: 46.0, list_lag_s: 10.0 },
        limits: Limits { rps: 250.0, write_rps: 80.0, value_kb: 32, txn_ops: 48 },
        cloud_rps: 6.0,
        sockets: 3500,
        core_share: 0.24,
        ram_mb: 200.0,
    }
}

/// nagham-jadwal with these machines up at the start.
pub fn choir(machines: Vec<(&'static str, &'static str, bool)>) -> Plan {
    let kind = |name, cores, accelerators, ram_gb, hourly, spot_price, boot_s, cache_gb, fetch_gb_per_s| MachineType {
        name, cores, accelerators, ram_gb, hourly, spot_price, boot_s, cache_gb, fetch_gb_per_s, zones: &["qahira", "iskandariya"],
    };
    Plan {
        controllers: 3,
        zones: &["qahira", "iskandariya"],
        teams: vec![
            ("fariq-amaliyat", 152.0, 504.0, 8.0, 40.0),
            ("fariq-kurat", 72.0, 256.0, 8.0, 16.0),
            ("fariq-firaq", 112.0, 376.0, 8.0, 40.0),
            ("fariq-sawtiyat", 152.0, 256.0, 8.0, 32.0),
        ],
        types: vec![
            kind("maqam", 16.0, 0.0, 32.0, 1.1, 0.3, 20.0, 25.0, 0.2),
            kind("watar", 12.0, 2.0, 48.0, 6.06, 1.58, 45.0, 120.0, 0.4),
        ],
        capacity: BTreeMap::from([
            (("maqam", "qahira", false), 4),
            (("maqam", "iskandariya", false), 6),
            (("maqam", "qahira", true), 3),
            (("maqam", "iskandariya", true), 4),
            (("watar", "qahira", false), 5),
            (("watar", "iskandariya", false), 8),
            (("watar", "qahira", true), 2),
            (("watar", "iskandariya", true), 3),
        ]),
        machines,
        times: Times { report_s: 2.0, lease_s: 14.0, gang_wait_s: 35.0, gang_peer_s: 5.0, cancel_s: 44.0, list_lag_s: 10.0 },
        limits: Limits { rps: 250.0, write_rps: 100.0, value_kb: 32, txn_ops: 48 },
        cloud_rps: 5.0,
        sockets: 1200,
        core_share: 0.08,
        ram_mb: 72.0,
    }
}

/// nagham-jadwal with three spot machines with accelerators, and no more of them to be had.
fn choir_of_three() -> Plan {
    let mut plan = choir(vec![("watar", "iskandariya", true); 3]);
    plan.capacity.retain(|key, _| key.0 == "maqam");
    plan.capacity.insert(("watar", "iskandariya", true), 3);
    plan
}

/// nagham-jadwal-next with no machine to be had: what is submitted waits.
fn choir_without_room() -> Plan {
    let mut plan = choir(Vec::new());
    plan.teams = vec![
        ("fariq-amaliyat", 1200.0, 7000.0, 90.0, 300.0),
        ("fariq-kurat", 600.0, 2000.0, 40.0, 120.0),
        ("fariq-firaq", 900.0, 3000.0, 70.0, 300.0),
        ("fariq-sawtiyat", 1200.0, 2000.0, 90.0, 250.0),
    ];
    plan.capacity.clear();
    plan
}

/// How long a job may wait while a machine that fits has room.
fn hold() -> f64 {
    std::env::var("HOLD_S").ok().and_then(|text| text.parse().ok()).unwrap_or(90.2)
}

/// Waits until a job is done and asks for it every 5 s, as its user does.
fn done_in_time(d: &mut Deployment, id: &str) -> bool {
    let mut next = 0.0;
    d.wait_for(&format!("{id} done"), hold(), |d| {
        if d.seconds() >= next {
            next = d.seconds() + 5.0;
            d.poll(id);
        }
        done(d, id)
    })
}

/// Whether all tasks of a job are done.
fn done(d: &Deployment, id: &str) -> bool {
    let job = d.job(id);
    job.done.len() as u32 == job.tasks
}

/// Waits until the job has started, as seen on the machines.
fn started(d: &mut Deployment, id: &str, seconds: f64) -> bool {
    d.wait_for(&format!("{id} started"), seconds, |d| d.job(id).starts > 0)
}

fn quarantined(d: &mut Deployment, trouble: bool) -> Outcome {
    // Until the machine that is up belongs to a shard and has shown its token.
    d.wait(5.0);
    let team = "fariq-amaliyat";
    let mut service = Job::new("j-000001", team, "service", 3, 1.0, 1.0);
    service.class = "hagz-qaat".into();
    if d.submit(service) >= 300 || !started(d, "j-000001", 40.0) {
        return CouldNotRun("the service did not start".into());
    }
    let archive = |number: usize, mistake_s: Option<f64>| {
        let mut job = Job::new(&format!("j-{number:06}"), team, "array", 1, 1.0, 1.6);
        (job.class, job.image, job.run_s, job.mistake_s) = ("ard-arshif".into(), "img-2".into(), 0.3, mistake_s);
        job
    };
    // Two jobs of fifty are submitted with a mistake, and both are cancelled by their users.
    // Jobs of one task come four a second.
    for number in 100..148 {
        d.wait(0.25);
        if d.submit(archive(number, None)) >= 300 {
            return CouldNotRun("a job was not accepted".into());
        }
    }
    let all = |d: &Deployment, numbers: std::ops::Range<usize>| numbers.clone().all(|n| done(d, &format!("j-{n:06}")));
    if !d.wait_for("the first 48 jobs done", 30.0, |d| all(d, 100..148)) {
        return CouldNotRun("the first jobs were not done".into());
    }
    for number in 148..150 {
        d.wait(0.25);
        d.submit(archive(number, trouble.then_some(0.3)));
    }
    let tried = |d: &Deployment| (148..150).all(|n| d.job(&format!("j-{n:06}")).starts > 0);
    if !d.wait_for("the two jobs tried", 10.0, |d| tried(d)) {
        return CouldNotRun("the two jobs did not start".into());
    }
    d.wait(1.5);
    if trouble {
        d.cancel("j-000148");
        d.cancel("j-000149");
    }
    if d.submit(archive(200, None)) >= 300 {
        return CouldNotRun("the last job was not accepted".into());
    }
    if done_in_time(d, "j-000200") {
        return Held;
    }
    match d.locked(|w| w.has_room("j-000200")) {
        Some(machine) => Broken(format!("j-000200 waited for 90 s while {machine} had room")),
        None => CouldNotRun("no machine had room".into()),
    }
}

fn crowded(d: &mut Deployment, trouble: bool) -> Outcome {
    d.wait(6.0);
    let team = "equipe-plantao-00";
    // An ordinary job on the same machine, whose task runs for longer than a lease.
    let mut notes = Job::new("j-000001", team, "array", 1, 4.0, 14.0);
    (notes.class, notes.types) = ("arquivo-notas".into(), Some(vec!["forno-grande"]));
    (notes.run_s, notes.estimate_s) = (40.0, 40.0);
    if d.submit(notes) >= 300 || !started(d, "j-000001", 40.0) {
        return CouldNotRun("the first job did not start".into());
    }
    // A sweep of many small tasks.
    let mut sweep = Job::new("j-000002", team, "array", if trouble { 1_500 } else { 300 }, 0.03, 0.1);
    (sweep.class, sweep.types, sweep.image) = ("varredura-safra".into(), Some(vec!["forno-grande"]), "img-2".into());
    (sweep.run_s, sweep.estimate_s, sweep.priority) = (60.0, 60.0, "best_effort");
    if d.submit(sweep) >= 300 {
        return CouldNotRun("the sweep was not accepted".into());
    }
    let held = d.wait_for("both jobs done", 100.0, |d| {
        if (d.seconds() * 10.0) as u64 % 50 == 0 {
            d.poll("j-000001");
            d.poll("j-000002");
        }
        done(d, "j-000001") && d.poll("j-000002").is_some_and(|a| a.1.get("ponto").str() == "done")
    });
    let lost = d.job("j-000001").losses;
    let sweep = d.job("j-000002");
    d.note(format!("j-000001: {lost} times killed; j-000002: {} starts, {} tasks done on the machine", sweep.starts, sweep.done.len()));
    if held {
        Held
    } else if lost >= 2 {
        Broken("all tasks of the machine are killed again and again; neither job ends".into())
    } else {
        CouldNotRun("the jobs are slow".into())
    }
}

fn blocked(d: &mut Deployment, trouble: bool) -> Outcome {
    d.wait(6.0);
    let training = |id: &str, tasks: u32, run_s: f64| {
        let mut job = Job::new(id, "fariq-firaq", "group", tasks, 10.0, 38.0);
        (job.class, job.accelerators, job.priority, job.types) = ("tadrib-sawt".into(), 2.0, "urgent", Some(vec!["watar"]));
        (job.one_zone, job.spot, job.run_s, job.estimate_s) = (true, true, run_s, run_s);
        job
    };
    if d.submit(training("j-000001", 3, 20.0)) >= 300 {
        return CouldNotRun("the gang of three was not accepted".into());
    }
    if !d.wait_for("j-000001 runs", 40.0, |d| d.job("j-000001").starts >= 3) {
        return CouldNotRun("the gang of three did not start".into());
    }
    if trouble {
        d.locked(|w| {
            let taken = w.machines.values().filter(|m| m.gone.is_none()).map(|m| m.id.clone()).next_back().unwrap_or_default();
            // The cloud takes it since it has none left: no other can be rented.
            w.capacity.insert(("watar", "iskandariya", true), 2);
            w.remove_machine(&taken, "TROUBLE: the cloud takes it back without notice");
        });
    }
    // Until the controllers have noticed, and the gang of three waits to be started again.
    d.wait(14.0);
    if d.submit(training("j-000002", 1, 5.0)) >= 300 {
        return CouldNotRun("the gang of one was not accepted".into());
    }
    if done_in_time(d, "j-000002") {
        return Held;
    }
    match d.locked(|w| w.has_room("j-000002")) {
        Some(machine) => Broken(format!("j-000002 waited for 90 s while {machine} had room")),
        None => CouldNotRun("no machine had room".into()),
    }
}

/// Most memory of a controller, as BRIEF has it.
const RAM_MIB: f64 = 72.0;
/// How long a process that has ended stays away.
const BACK_AFTER: Duration = Duration::from_secs(5);
/// A job about which no question is answered for so long counts as forgotten.
const FORGOTTEN_S: f64 = 75.0;

/// The platform's part for memory: a process over its limit is killed and started again.
struct Platform {
    down: Vec<Option<Instant>>,
    ends: u32,
    most_mib: f64,
}

impl Platform {
    fn look(&mut self, d: &mut Deployment) {
        for i in d.ended() {
            d.note(format!("controller {i} ended by itself"));
            self.down[i] = Some(Instant::now());
        }
        for (i, held) in d.memory_mib().into_iter().enumerate() {
            self.most_mib = self.most_mib.max(held);
            if held > RAM_MIB && self.down[i].is_none() {
                d.note(format!("platform: controller {i} holds {held:.1} MiB, over its limit of {RAM_MIB}"));
                d.kill_controller(i);
                self.down[i] = Some(Instant::now());
                self.ends += 1;
            }
            if self.down[i].is_some_and(|since| since.elapsed() >= BACK_AFTER) {
                self.down[i] = None;
                d.start_controller(i);
            }
        }
    }
}

fn pipelines(d: &mut Deployment, trouble: bool) -> Outcome {
    d.wait(2.0);
    // A service of another team, about which its user asks every second from now on.
    let mut booking = Job::new("j-000001", "fariq-kurat", "service", 3, 1.0, 1.0);
    booking.class = "hagz-qaat".into();
    if d.submit(booking) >= 300 {
        return CouldNotRun("the service was not accepted".into());
    }
    let width = if trouble { 900 } else { 300 };
    let first: Vec<String> = (0..width).map(|n| format!("j-{:06}", 100_000 + n)).collect();
    let stage = |base: usize, needs: &[String]| -> Vec<Job> {
        let job = |n: usize| {
            let mut job = Job::new(&format!("j-{:06}", base + n), "fariq-amaliyat", "array", 1, 1.0, 1.6);
            (job.class, job.priority, job.needs) = ("jam-tawafur".into(), "best_effort", needs.to_vec());
            job
        };
        (0..width).map(job).collect()
    };
    let mut platform = Platform { down: vec![None; d.binds.len()], ends: 0, most_mib: 0.0 };
    let mut users = Some(Users::submit(d, stage(100_000, &[])));
    let (mut stages, mut burst_over) = (1, None);
    let mut longest = 0.0f64;
    let begun = Instant::now();
    let last_answer = Arc::new(Mutex::new(begun));
    ask_every_second(d, "j-000001", last_answer.clone());
    while begun.elapsed().as_secs_f64() < 108.0 {
        platform.look(d);
        if let Some(group) = &users {
            if platform.ends >= 3 {
                // Users who have not submitted yet stay away.
                group.jobs.lock().unwrap().clear();
            }
            if group.finished() || platform.ends >= 3 {
                d.note(format!("stage {stages} submitted; most memory so far {:.1} MiB", platform.most_mib));
                if stages == 1 && platform.ends == 0 {
                    stages = 2;
                    users = Some(Users::submit(d, stage(200_000, &first)));
                } else {
                    users = None;
                    burst_over = Some(Instant::now());
                }
            }
        }
        std::thread::sleep(Duration::from_millis(3));
        let Some(over) = burst_over else { continue };
        let silent = last_answer.lock().unwrap().max(over).elapsed().as_secs_f64();
        longest = longest.max(silent);
        if silent >= FORGOTTEN_S {
            return Broken(format!("no question about j-000001 was answered for 75 s; controllers were killed for memory {} times", platform.ends));
        }
        if platform.ends == 0 && over.elapsed().as_secs() >= 15 {
            break;
        }
    }
    d.note(format!("kills for memory: {}; most memory {:.1} MiB; longest time without an answer {longest:.1} s", platform.ends, platform.most_mib));
    if burst_over.is_none() {
        return CouldNotRun("the jobs were not submitted in time".into());
    }
    if platform.ends > 0 {
        return CouldNotRun("controllers were killed for memory, but some question was answered".into());
    }
    Held
}

/// A user asks for a job every second, at one controller after the other, and waits 2 s for each answer.
fn ask_every_second(d: &Deployment, id: &str, last_answer: Arc<Mutex<Instant>>) {
    let (world, binds, path) = (d.world.clone(), d.binds.clone(), format!("/submissions/{id}"));
    std::thread::spawn(move || {
        for n in 0.. {
            let node = n % binds.len();
            let answer = crate::http::call(binds[node], "GET", &path, "", Duration::from_secs(2));
            if answer.as_ref().is_some_and(|answer| answer.0 == 200) {
                *last_answer.lock().unwrap() = Instant::now();
            }
            let answer = answer.map_or("no answer".to_owned(), |a| format!("{} {}", a.0, String::from_utf8_lossy(&a.1)));
            world.lock().unwrap().note(format!("user asks at {node}: {answer}"));
            std::thread::sleep(Duration::from_secs(1));
        }
    });
}

/// Users who submit jobs side by side, sixteen at a time, each with retries for up to 60 s.
struct Users {
    jobs: Arc<Mutex<Vec<Job>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Users {
    fn submit(d: &Deployment, jobs: Vec<Job>) -> Users {
        let jobs = Arc::new(Mutex::new(jobs));
        let user = |user: usize| {
            let (jobs, world, binds) = (jobs.clone(), d.world.clone(), d.binds.clone());
            std::thread::spawn(move || {
                let mut node = user;
                loop {
                    let Some(job) = jobs.lock().unwrap().pop() else { return };
                    submit_one(&world, &binds, &mut node, job);
                }
            })
        };
        let threads = (0..16).map(user).collect();
        Users { jobs, threads }
    }

    fn finished(&self) -> bool {
        self.threads.iter().all(|thread| thread.is_finished())
    }
}

fn submit_one(world: &Shared, binds: &[SocketAddr], node: &mut usize, job: Job) {
    let (id, body) = (job.id.clone(), job.body());
    world.lock().unwrap().jobs.insert(id.clone(), job);
    let begun = Instant::now();
    while begun.elapsed().as_secs() < 60 {
        *node += 1;
        let answer = crate::http::call(binds[*node % binds.len()], "POST", "/submissions", &body, Duration::from_secs(5));
        if let Some((status @ (200 | 201 | 400 | 422), answer)) = answer {
            let mut world = world.lock().unwrap();
            world.note(format!("user is told of {id}: {status} {}", String::from_utf8_lossy(&answer)));
            if status < 300 {
                world.jobs.get_mut(&id).unwrap().accepted = Some(Instant::now());
            }
            return;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn called_queued(d: &mut Deployment, trouble: bool) -> Outcome {
    // Until the machines that are up belong to shards and have shown their tokens.
    d.wait(5.0);
    let teams = ["fariq-amaliyat", "fariq-kurat", "fariq-firaq", "fariq-sawtiyat"];
    let ids: Vec<String> = (1..=4).map(|n| format!("j-{n:06}")).collect();
    for (id, team) in ids.iter().zip(teams) {
        let mut service = Job::new(id, team, "service", 3, 1.0, 1.0);
        service.class = "hagz-qaat".into();
        if d.submit(service) >= 300 {
            return CouldNotRun("a service was not accepted".into());
        }
    }
    let all_run = |d: &mut Deployment| ids.iter().all(|id| d.locked(|w| w.running(id)) == 3);
    if !d.wait_for("all services run", 40.0, |d| all_run(d)) {
        return CouldNotRun("the services did not start".into());
    }
    d.wait(4.0);
    let node = 1;
    if trouble {
        d.kill_controller(node);
        d.wait(5.0);
        d.start_controller(node);
    }
    // From 15 s after it is back: long enough for hand-backs, and five times what a state may lag.
    if !d.wait_until_up() {
        return CouldNotRun("the controller is not back".into());
    }
    d.wait(15.0);
    let (mut wrong, mut asked) = (std::collections::BTreeMap::<String, u32>::new(), 0);
    for _ in 0..30 {
        for id in &ids {
            for node in 0..d.binds.len() {
                let before = d.locked(|w| w.running(id));
                let answer = d.call(node, "GET", &format!("/submissions/{id}"), "", 2.0);
                let Some((200, answer)) = answer else { continue };
                asked += 1;
                d.note(format!("user asks for {id} at {node}: {answer}; {before} replicas run"));
                if answer.get("ponto").str() == "queued" && before == 3 && d.locked(|w| w.ran_for(id)) > 3.0 {
                    *wrong.entry(format!("{id} at controller {node}")).or_default() += 1;
                }
            }
        }
        d.wait(1.0);
    }
    d.note(format!("{asked} answers; called queued although all replicas have run for more than 3 s: {wrong:?}"));
    match wrong.into_iter().find(|(_, times)| *times >= 10) {
        Some((which, times)) => Broken(format!("{which} is called queued {times} times of 30, though all its replicas run")),
        None => Held,
    }
}
