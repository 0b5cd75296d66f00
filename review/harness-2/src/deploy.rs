//! The controllers as separate processes, started with the commands of the deploy file, and the users' requests.

use crate::http;
use crate::json::Json;
use crate::store::{Limits, Store};
use crate::world::{start_cloud, start_worker, Job, MachineType, Shared, Times, World};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A team: name, CPUs guaranteed and at most, GPUs guaranteed and at most.
pub type Team = (&'static str, f64, f64, f64, f64);

pub struct Plan {
    pub controllers: usize,
    pub zones: &'static [&'static str],
    pub teams: Vec<Team>,
    pub types: Vec<MachineType>,
    pub capacity: BTreeMap<(&'static str, &'static str, bool), usize>,
    /// Machines up at the start: type, zone, spot.
    pub machines: Vec<(&'static str, &'static str, bool)>,
    pub times: Times,
    pub limits: Limits,
    pub cloud_rps: f64,
    pub sockets: u32,
    pub core_share: f64,
    pub ram_mb: f64,
}

pub struct Deployment {
    pub world: Shared,
    pub store: Store,
    pub binds: Vec<SocketAddr>,
    /// Controllers that are cut from the others.
    pub mesh_cut: Arc<Mutex<Vec<bool>>>,
    pub folder: PathBuf,
    program: PathBuf,
    children: Vec<Option<Child>>,
    next_node: usize,
    /// Ends the controllers and removes the folder if this process is ended from outside.
    guard: Option<Child>,
}

/// The processes that run now.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case after this time, with all processes that it started.
pub fn limit(seconds: u64, world: Shared, record: PathBuf, folder: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
        let mut world = world.lock().unwrap();
        world.note("the case couldn't run: out of time");
        let _ = std::fs::write(record, world.record.join("\n") + "\n");
        let _ = std::fs::remove_dir_all(folder);
        println!("the case couldn't run: out of time");
        std::process::exit(2);
    });
}

/// A free loopback address below the ports that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    loop {
        let port = 12_000 + (crate::store::chance() * 18_000.0) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// The way from one controller to another: while one of the two is cut, bytes are held, and delivered afterwards.
fn proxy(to: SocketAddr, from: usize, other: usize, cut: Arc<Mutex<Vec<bool>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { continue };
            for (mut read, mut write) in [(stream.try_clone(), far.try_clone()), (far.try_clone(), stream.try_clone())]
                .into_iter()
                .filter_map(|(a, b)| Some((a.ok()?, b.ok()?)))
            {
                let cut = cut.clone();
                std::thread::spawn(move || {
                    let mut buffer = [0; 16 * 1024];
                    while let Ok(n @ 1..) = read.read(&mut buffer) {
                        loop {
                            let cut = cut.lock().unwrap();
                            if !cut[from] && !cut[other] {
                                break;
                            }
                            drop(cut);
                            std::thread::sleep(Duration::from_millis(20));
                        }
                        if write.write_all(&buffer[..n]).is_err() {
                            break;
                        }
                    }
                    let _ = write.shutdown(std::net::Shutdown::Both);
                });
            }
        }
    });
    address
}

impl Deployment {
    pub fn start(plan: &Plan, root: &Path) -> Deployment {
        let members: Vec<String> = (0..plan.controllers).map(|i| format!("forno-{i}")).collect();
        let binds: Vec<SocketAddr> = members.iter().map(|_| free_address()).collect();
        let meshes: Vec<SocketAddr> = members.iter().map(|_| free_address()).collect();
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(1, |t| t.as_nanos() as u64 | 1);
        let world = Arc::new(Mutex::new(World {
            began: Instant::now(),
            times: plan.times,
            types: plan.types.clone(),
            capacity: plan.capacity.clone(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            limits: plan.teams.iter().map(|t| (t.0.to_owned(), (t.2, t.4))).collect(),
            controllers: binds.clone(),
            members: members.clone(),
            record: Vec::new(),
            broken: Vec::new(),
            rentals: BTreeMap::new(),
            rent_requests: 0,
            boot_factor: 1.0,
            cloud_out: false,
            seed,
            late_commands: 0.0,
            late_reports: 0.0,
        }));
        let store = Store::start(plan.controllers, &plan.limits);
        let mesh_cut = Arc::new(Mutex::new(vec![false; plan.controllers]));
        let cloud = start_cloud(&world);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        for (i, member) in members.iter().enumerate() {
            let mut settings = format!(
                "member = \"{member}\"\nlocation = \"{}\"\nbind = \"{}\"\nmesh_addr = \"{}\"\n\n",
                plan.zones[i % plan.zones.len()], binds[i], meshes[i]
            );
            for other in (0..members.len()).filter(|other| *other != i) {
                settings += &format!(
                    "[[members]]\nmember = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n\n",
                    members[other], plan.zones[other % plan.zones.len()], proxy(meshes[other], i, other, mesh_cut.clone())
                );
            }
            settings += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{}\"\n\n", store.addresses[i]);
            settings += &format!("[params]\nnodes = {}\nzones = {:?}\nclock_off_ms = 100.0\n\n", members.len(), plan.zones);
            for (name, cpus, cpus_max, gpus, gpus_max) in &plan.teams {
                settings += &format!(
                    "[[params.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = {gpus:?}\ngpus_max = {gpus_max:?}\n\n"
                );
            }
            let t = &plan.times;
            settings += &format!(
                "[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n\n",
                t.report_s, t.lease_s, t.gang_wait_s, t.gang_peer_s, t.cancel_s
            );
            settings += &format!(
                "[params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n",
                plan.limits.rps, plan.limits.write_rps, plan.limits.value_kb as f64, plan.limits.txn_ops
            );
            settings += &format!("[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n", plan.cloud_rps, t.list_lag_s);
            settings += &format!("[params.limits]\ncore_share = {:?}\nram_mb = {:?}\nfd_limit = {}\n", plan.core_share, plan.ram_mb, plan.sockets);
            let own = folder.join(member);
            std::fs::create_dir_all(&own).expect("a temporary folder");
            std::fs::write(own.join("settings.toml"), settings).expect("a settings file");
            if std::env::var("DUTIES").is_ok() {
                std::fs::write(own.join("seamfront.ini"), "[duties]\non = yes\n").expect("a settings file");
            }
        }
        for (kind, zone, spot) in &plan.machines {
            let id = world.lock().unwrap().add_machine(kind, zone, *spot, 0.0).expect("capacity for the machines at the start");
            start_worker(&world, id);
        }
        let mut deployment = Deployment {
            world,
            store,
            binds,
            mesh_cut,
            folder,
            program: root.join("target/release/seamfront"),
            children: (0..plan.controllers).map(|_| None).collect(),
            next_node: 0,
            guard: None,
        };
        deployment.guard = Command::new("sh")
            .arg("-c")
            .arg("while kill -0 \"$1\" 2>/dev/null; do sleep 0.3; done; [ -f \"$2/processes\" ] && kill -9 $(cat \"$2/processes\"); rm -rf \"$2\"")
            .args(["guard", &std::process::id().to_string()])
            .arg(&deployment.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .ok();
        for i in 0..plan.controllers {
            deployment.start_controller(i);
        }
        deployment
    }

    /// For the guard: the processes that run now.
    fn write_processes(&self) {
        let ids: Vec<String> = STARTED.lock().unwrap().iter().map(u32::to_string).collect();
        let _ = std::fs::write(self.folder.join("processes"), ids.join(" "));
    }

    /// Starts a controller, unless it runs.
    pub fn start_controller(&mut self, i: usize) {
        if self.children[i].is_some() {
            return;
        }
        let own = self.folder.join(format!("forno-{i}"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(own.join("log")).expect("a log file");
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(own.join("settings.toml"))
            .env("LOG_LEVEL", std::env::var("CONTROLLER_LOG").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                self.write_processes();
                self.note(format!("controller {i} started, process {}", child.id()));
                self.children[i] = Some(child);
            }
            Err(error) => {
                println!("can't start {}: {error}", self.program.display());
                self.end();
                std::process::exit(2);
            }
        }
    }

    pub fn kill_controller(&mut self, i: usize) {
        if let Some(mut child) = self.children[i].take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            self.write_processes();
            self.note(format!("controller {i} killed"));
        }
    }

    /// Sends STOP or CONT to a controller.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.children[i] {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
            self.note(format!("controller {i}: signal {signal}"));
        }
    }

    /// The memory that each controller holds, in MiB; 0 for one that is down.
    pub fn memory_mib(&self) -> Vec<f64> {
        let resident = |child: &Option<Child>| -> Option<f64> {
            let status = std::fs::read_to_string(format!("/proc/{}/status", child.as_ref()?.id())).ok()?;
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
            Some(line.trim().trim_end_matches("kB").trim().parse::<f64>().ok()? / 1_024.0)
        };
        self.children.iter().map(|child| resident(child).unwrap_or(0.0)).collect()
    }

    /// Controllers that ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (i, child) in self.children.iter_mut().enumerate() {
            if child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_)))) {
                let id = child.take().map(|c| c.id());
                STARTED.lock().unwrap().retain(|started| Some(*started) != id);
                ended.push(i);
            }
        }
        if !ended.is_empty() {
            self.write_processes();
        }
        ended
    }

    pub fn note(&self, line: impl Into<String>) {
        self.world.lock().unwrap().note(line);
    }

    pub fn seconds(&self) -> f64 {
        self.world.lock().unwrap().began.elapsed().as_secs_f64()
    }

    pub fn wait(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    pub fn wait_for(&mut self, what: &str, seconds: f64, mut done: impl FnMut(&mut Deployment) -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            if done(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.note(format!("not within {seconds} s: {what}"));
        false
    }

    /// Waits until all controllers answer 200 to `GET /up`.
    pub fn wait_until_up(&mut self) -> bool {
        let binds = self.binds.clone();
        let up = move |to: &SocketAddr| http::call(*to, "GET", "/up", "", Duration::from_secs(1)).is_some_and(|r| r.0 == 200);
        let mut ended = false;
        let within = self.wait_for("all controllers up", 12.0, |d| {
            ended |= !d.ended().is_empty();
            ended || binds.iter().all(&up)
        });
        within && !ended
    }

    /// A user's request to one controller.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &str, timeout_s: f64) -> Option<(u16, Json)> {
        let answer = http::call(self.binds[node], method, path, body, Duration::from_secs_f64(timeout_s))?;
        Some((answer.0, Json::parse(&answer.1).unwrap_or_default()))
    }

    /// Submits a job as a user does, with retries for up to 60 s, at the next controller each time.
    pub fn submit(&mut self, job: Job) -> u16 {
        let (id, body) = (job.id.clone(), job.body());
        self.note(format!("user submits {body}"));
        self.world.lock().unwrap().jobs.insert(id.clone(), job);
        let end = Instant::now() + Duration::from_secs(60);
        loop {
            self.next_node = (self.next_node + 1) % self.binds.len();
            let answer = self.call(self.next_node, "POST", "/submissions", &body, 5.0);
            if let Some((status @ (200 | 201 | 400 | 422), answer)) = answer {
                let mut world = self.world.lock().unwrap();
                world.note(format!("user is told of {id}: {status} {answer}"));
                if status < 300 {
                    world.jobs.get_mut(&id).unwrap().accepted = Some(Instant::now());
                }
                return status;
            }
            if Instant::now() > end {
                self.note(format!("user gives up to submit {id}"));
                return 0;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    }

    /// Cancels a job as a user does; true once it is told to be cancelled.
    pub fn cancel(&mut self, id: &str) -> bool {
        for _ in 0..30 {
            self.next_node = (self.next_node + 1) % self.binds.len();
            let answer = self.call(self.next_node, "POST", &format!("/submissions/{id}/abort"), "", 5.0);
            if let Some((200, answer)) = answer {
                let mut world = self.world.lock().unwrap();
                world.note(format!("user cancels {id}: {answer}"));
                let cancelled = answer.get("ponto").str() == "withdrawn";
                if cancelled {
                    world.jobs.get_mut(id).unwrap().withdrawn = Some(Instant::now());
                }
                return cancelled;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Asks for a job's state at the next controller, as a user does.
    pub fn poll(&mut self, id: &str) -> Option<(u16, Json)> {
        self.next_node = (self.next_node + 1) % self.binds.len();
        let answer = self.call(self.next_node, "GET", &format!("/submissions/{id}"), "", 2.0);
        self.note(format!("user asks for {id} at {}: {}", self.next_node, answer.as_ref().map_or("no answer".into(), |a| format!("{} {}", a.0, a.1))));
        answer
    }

    /// Ends all controllers and removes the temporary folder, unless `KEEP` is set.
    pub fn end(&mut self) {
        for i in 0..self.children.len() {
            self.kill_controller(i);
        }
        if let Some(mut guard) = self.guard.take() {
            let _ = guard.kill();
            let _ = guard.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("kept: {}", self.folder.display());
        }
    }

    pub fn job(&self, id: &str) -> Job {
        self.world.lock().unwrap().jobs[id].clone()
    }

    pub fn locked<R>(&self, read: impl FnOnce(&mut World) -> R) -> R {
        read(&mut self.world.lock().unwrap())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}
