//! An example program that holds duties: several processes of it keep a fleet of machines at a target size. Start them
//! with the same `--members`, each under its own name; stop, kill or freeze any of them.
//!
//! ```text
//! duty_holder --member n0 --members n0,n1,n2 --state 127.0.0.1:7001 --cloud 127.0.0.1:7002
//! ```

use async_channel::{Receiver, Sender};
use async_io::Timer;
use clap::Parser;
use futures_lite::FutureExt;
use seamfront::http::Client;
use seamfront::{cloud_client, store_client};
use seamfront_core::port::{CloudReply, CloudRequest, StoreReply, StoreRequest};
use seamfront_core::types::{MachineId, Micros};
use seamfront_lease::driver::{Driver, Performer, SteadyClock, StoreClient};
use seamfront_lease::port::{Command, Effect, Outcome};
use seamfront_lease::record::{self, LogRecord, Operation, OperationName};
use seamfront_lease::settings::{LeaseSettings, StoreLimits};
use seamfront_lease::{keys, DutyManager};
use seamfront_testing::fleet_reconciler::{self, FleetOperation, FleetReconciler};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which the program decides what to do.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two lists of recorded machines.
const LIST_INTERVAL: Micros = Micros::from_millis(300);
/// A machine is terminated once in this many ticks, so that replacements are provisioned all the time.
const TICKS_PER_TERMINATION: u64 = 6;
/// The cloud's list of machines is read once in this many ticks.
const TICKS_PER_CLOUD_LIST: u64 = 40;
/// After this time without a response an operation's outcome counts as unknown.
const PERFORM_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Parser)]
struct Args {
    /// This member's name.
    #[arg(long)]
    member: String,
    /// Names of all members, separated by commas.
    #[arg(long, value_delimiter = ',')]
    members: Vec<String>,
    /// Address of the key-value store.
    #[arg(long)]
    state: SocketAddr,
    /// Address of the cloud API.
    #[arg(long)]
    cloud: SocketAddr,
    /// Duration of the lease in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    lease_ms: i64,
    /// Maximum response time of the key-value store, in milliseconds.
    #[arg(long, default_value_t = 1_500)]
    answer_ms: i64,
    /// Target number of machines in the fleet.
    #[arg(long, default_value_t = 6)]
    target: usize,
}

struct HttpStore {
    client: Client,
    addr: SocketAddr,
}

impl StoreClient for HttpStore {
    async fn call(&self, request: StoreRequest) -> StoreReply {
        store_client::call(&self.client, self.addr, &request).await
    }
}

struct HttpCloud {
    client: Client,
    addr: SocketAddr,
    /// Machines that each operation provisioned in this process.
    provisioned_machines: RefCell<BTreeMap<OperationName, Vec<String>>>,
}

impl HttpCloud {
    async fn provision(&self, duty: &str, operation: &Operation, count: usize) -> Outcome {
        let name = fleet_reconciler::provisioning_request_name(duty, operation.name);
        let (machine_type, zone) = ("small".to_owned(), "a".to_owned());
        let request = CloudRequest::Provision {
            name,
            machine_type,
            zone,
            spot: false,
            count: count as u32,
        };
        match cloud_client::call(&self.client, self.addr, &request).await {
            CloudReply::Provisioned(machines) => {
                let machines: Vec<String> = machines
                    .iter()
                    .map(|machine| machine.as_str().to_owned())
                    .collect();
                self.provisioned_machines
                    .borrow_mut()
                    .insert(operation.name, machines.clone());
                fleet_reconciler::provisioned(&machines)
            }
            CloudReply::NoCapacity => Outcome::NotDone,
            _ => Outcome::Unknown,
        }
    }

    async fn terminate(&self, machines: &[String]) -> Outcome {
        let ids = machines
            .iter()
            .map(|name| MachineId::from(name.as_str()))
            .collect();
        match cloud_client::call(
            &self.client,
            self.addr,
            &CloudRequest::Terminate { machines: ids },
        )
        .await
        {
            CloudReply::Terminated => fleet_reconciler::terminated(machines),
            _ => Outcome::Unknown,
        }
    }
}

impl Performer for HttpCloud {
    async fn perform(&self, duty: &str, operation: &Operation) -> Outcome {
        match FleetOperation::of(operation) {
            Some(FleetOperation::Provision { count }) => {
                self.provision(duty, operation, count).await
            }
            Some(FleetOperation::Terminate { machines }) => self.terminate(&machines).await,
            None => Outcome::NotDone,
        }
    }
}

/// Decides which operations to begin; the driver runs concurrently and performs them.
struct Program {
    reconciler: FleetReconciler,
    client: Client,
    store_addr: SocketAddr,
    cloud: Rc<HttpCloud>,
    commands: Sender<Command>,
    events: Receiver<Effect>,
    ticks: u64,
    next_list_at: Micros,
}

impl Program {
    async fn run(mut self) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.observe_events();
            self.refresh_list().await;
            self.observe_events();
            for command in self.next_commands().await {
                if self.commands.send(command).await.is_err() {
                    return;
                }
            }
        }
    }

    fn observe_events(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            let provisioned_machines = self.cloud.provisioned_machines.borrow();
            let machines_of = |operation: &Operation| {
                provisioned_machines
                    .get(&operation.name)
                    .cloned()
                    .unwrap_or_default()
            };
            self.reconciler.observe(&event, machines_of);
        }
    }

    async fn refresh_list(&mut self) {
        let now = SteadyClock.now();
        if !self.reconciler.needs_list() || now < self.next_list_at {
            return;
        }
        self.next_list_at = now + LIST_INTERVAL;
        let number = self.reconciler.begin_list();
        let (Some(machines), Some(open)) = (
            self.list_recorded_machines().await,
            self.open_provisioning_operations().await,
        ) else {
            return;
        };
        // Events that arrived in the meantime may invalidate the list.
        self.observe_events();
        self.reconciler.apply_list(now, number, machines, &open);
    }

    async fn list_recorded_machines(&self) -> Option<BTreeSet<String>> {
        let mut machines = BTreeSet::new();
        let mut after = None;
        loop {
            let request = StoreRequest::List {
                prefix: fleet_reconciler::MACHINE_PREFIX.to_owned(),
                after,
            };
            let StoreReply::Page { entries, more, .. } =
                store_client::call(&self.client, self.store_addr, &request).await
            else {
                return None;
            };
            after = entries.last().map(|entry| entry.key.clone());
            let names = entries
                .iter()
                .filter_map(|entry| entry.key.strip_prefix(fleet_reconciler::MACHINE_PREFIX));
            machines.extend(names.map(str::to_owned));
            if !more {
                return Some(machines);
            }
        }
    }

    async fn open_provisioning_operations(&self) -> Option<BTreeSet<OperationName>> {
        let key = keys::log(fleet_reconciler::PROVISIONING_DUTY);
        match store_client::call(
            &self.client,
            self.store_addr,
            &StoreRequest::Get { key: key.clone() },
        )
        .await
        {
            StoreReply::Entry(entry) => {
                let log: LogRecord = record::decode(&key, &entry.value).ok()?;
                Some(
                    log.open
                        .into_iter()
                        .map(|operation| operation.name)
                        .collect(),
                )
            }
            StoreReply::Missing => Some(BTreeSet::new()),
            _ => None,
        }
    }

    async fn next_commands(&mut self) -> Vec<Command> {
        self.ticks += 1;
        let mut commands: Vec<Command> = self.reconciler.provision().into_iter().collect();
        if self.ticks.is_multiple_of(TICKS_PER_TERMINATION) {
            commands.extend(self.reconciler.terminate(self.ticks as usize));
        }
        if self.ticks.is_multiple_of(TICKS_PER_CLOUD_LIST) {
            if let Some(listed) = self.list_cloud_machines().await {
                commands.extend(self.reconciler.adopt(SteadyClock.now(), &listed));
            }
        }
        commands
    }

    async fn list_cloud_machines(&self) -> Option<BTreeSet<String>> {
        let mut machines = BTreeSet::new();
        let mut after = None;
        loop {
            let request = CloudRequest::ListMachines { after };
            let CloudReply::Page {
                machines: page,
                more,
            } = cloud_client::call(&self.client, self.cloud.addr, &request).await
            else {
                return None;
            };
            after = page.last().map(|machine| machine.id.clone());
            machines.extend(page.iter().map(|machine| machine.id.as_str().to_owned()));
            if !more {
                return Some(machines);
            }
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    let members: Vec<&str> = args.members.iter().map(String::as_str).collect();
    let limits = StoreLimits {
        value_bytes: 32 * 1024,
        transaction_changes: 48,
        changes_per_second: 100,
    };
    let duties = [
        fleet_reconciler::PROVISIONING_DUTY,
        fleet_reconciler::TERMINATION_DUTY,
        fleet_reconciler::ADOPTION_DUTY,
    ];
    let mut settings = LeaseSettings::new(&args.member, &members, &duties, limits);
    settings.lease = Micros::from_millis(args.lease_ms);
    settings.store_answer = Micros::from_millis(args.answer_ms);
    let manager = match DutyManager::new(settings) {
        Ok(manager) => manager,
        Err(error) => {
            eprintln!("duty_holder: {error}");
            return ExitCode::from(2);
        }
    };
    let client = Client::default();
    let (commands, command_queue) = async_channel::bounded(64);
    let (event_queue, events) = async_channel::bounded(4_096);
    let cloud = Rc::new(HttpCloud {
        client: client.clone(),
        addr: args.cloud,
        provisioned_machines: RefCell::default(),
    });
    let driver = Driver {
        store: Rc::new(HttpStore {
            client: client.clone(),
            addr: args.state,
        }),
        performer: cloud.clone(),
        commands: command_queue,
        events: event_queue,
        perform_timeout: PERFORM_TIMEOUT,
    };
    let program = Program {
        reconciler: FleetReconciler::new(args.target),
        client,
        store_addr: args.state,
        cloud,
        commands,
        events,
        ticks: 0,
        next_list_at: Micros::ZERO,
    };
    async_io::block_on(driver.run(manager).or(program.run()));
    ExitCode::SUCCESS
}
