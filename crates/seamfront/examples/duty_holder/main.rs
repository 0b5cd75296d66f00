//! A program that holds duties: together, processes of it keep a fleet of machines at a size. Start several with the same
//! `--members`, each under its own name; stop, kill or freeze any of them.
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

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const LIST_INTERVAL: Micros = Micros::from_millis(300);
/// One in so many ticks a machine is returned, so that there is always something to do.
const TICKS_PER_RETURN: u64 = 6;
/// One in so many ticks the cloud's list is read.
const TICKS_PER_CLOUD_LIST: u64 = 40;
const PERFORM_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Parser)]
struct Args {
    /// This member's name.
    #[arg(long)]
    member: String,
    /// Names of all members.
    #[arg(long, value_delimiter = ',')]
    members: Vec<String>,
    /// Address of the key-value store.
    #[arg(long)]
    state: SocketAddr,
    /// Address of the cloud.
    #[arg(long)]
    cloud: SocketAddr,
    /// Length of the lease in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    lease_ms: i64,
    /// The longest that the key-value store may take to respond, in milliseconds.
    #[arg(long, default_value_t = 1_500)]
    answer_ms: i64,
    /// Machines to keep.
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
    /// Machines of the operations that were performed here.
    rented: RefCell<BTreeMap<OperationName, Vec<String>>>,
}

impl HttpCloud {
    async fn provision(&self, duty: &str, operation: &Operation, count: usize) -> Outcome {
        let name = fleet_reconciler::provisioning_request_name(duty, operation.name);
        let (kind, zone) = ("small".to_owned(), "a".to_owned());
        let request = CloudRequest::Provision {
            name,
            kind,
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
                self.rented
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

/// Decides what to do, beside the driver.
struct Program {
    keeper: FleetReconciler,
    client: Client,
    state: SocketAddr,
    cloud: Rc<HttpCloud>,
    commands: Sender<Command>,
    events: Receiver<Effect>,
    ticks: u64,
    list_next: Micros,
}

impl Program {
    async fn run(mut self) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.take_events();
            self.read_lists().await;
            self.take_events();
            for command in self.decide().await {
                if self.commands.send(command).await.is_err() {
                    return;
                }
            }
        }
    }

    fn take_events(&mut self) {
        while let Ok(event) = self.events.try_recv() {
            let rented = self.cloud.rented.borrow();
            let machines_of =
                |operation: &Operation| rented.get(&operation.name).cloned().unwrap_or_default();
            self.keeper.observe(&event, machines_of);
        }
    }

    async fn read_lists(&mut self) {
        let now = SteadyClock.now();
        if !self.keeper.needs_list() || now < self.list_next {
            return;
        }
        self.list_next = now + LIST_INTERVAL;
        let number = self.keeper.begin_list();
        let (Some(machines), Some(open)) = (self.recorded().await, self.open_orders().await) else {
            return;
        };
        // What came meanwhile may void the list.
        self.take_events();
        self.keeper.apply_list(now, number, machines, &open);
    }

    async fn recorded(&self) -> Option<BTreeSet<String>> {
        let mut machines = BTreeSet::new();
        let mut after = None;
        loop {
            let request = StoreRequest::List {
                prefix: fleet_reconciler::MACHINE_PREFIX.to_owned(),
                after,
            };
            let StoreReply::Page { entries, more, .. } =
                store_client::call(&self.client, self.state, &request).await
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

    async fn open_orders(&self) -> Option<BTreeSet<OperationName>> {
        let key = keys::log(fleet_reconciler::PROVISIONING_DUTY);
        match store_client::call(
            &self.client,
            self.state,
            &StoreRequest::Get { key: key.clone() },
        )
        .await
        {
            StoreReply::Entry(entry) => {
                let log: LogRecord = record::read(&key, &entry.value).ok()?;
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

    async fn decide(&mut self) -> Vec<Command> {
        self.ticks += 1;
        let mut commands: Vec<Command> = self.keeper.provision().into_iter().collect();
        if self.ticks.is_multiple_of(TICKS_PER_RETURN) {
            commands.extend(self.keeper.terminate(self.ticks as usize));
        }
        if self.ticks.is_multiple_of(TICKS_PER_CLOUD_LIST) {
            if let Some(listed) = self.listed_by_cloud().await {
                commands.extend(self.keeper.adopt(SteadyClock.now(), &listed));
            }
        }
        commands
    }

    async fn listed_by_cloud(&self) -> Option<BTreeSet<String>> {
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
        rented: RefCell::default(),
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
        keeper: FleetReconciler::new(args.target),
        client,
        state: args.state,
        cloud,
        commands,
        events,
        ticks: 0,
        list_next: Micros::ZERO,
    };
    async_io::block_on(driver.run(manager).or(program.run()));
    ExitCode::SUCCESS
}
