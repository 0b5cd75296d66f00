//! The command line: runs a controller, checks its settings, or carries out a command on duties.
#![forbid(unsafe_code)]

use clap::Parser;
use seamfront::settings::ControllerSettings;
use seamfront::{driver, duty_admin, settings};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Cluster scheduler: runs gangs, job arrays and services on machines that it provisions.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Logs go to standard error; LOG_LEVEL sets the level \
(error, warn, info, debug). Operators' settings are read from seamfront.ini in the directory of FILE, if it exists."
)]
struct Args {
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// Turn duties on, like `on = yes` in section `duties` of seamfront.ini.
    #[arg(long)]
    duties: bool,
    /// Print the holders of the duties and the members that are up, and exit.
    #[arg(long)]
    show_duties: bool,
    /// Ask the holder of a duty to transfer it to a member, and exit.
    #[arg(long, value_name = "DUTY=MEMBER")]
    move_duty: Option<duty_admin::MoveRequest>,
    /// Return to a single leader's claim and exit; refused while a controller has duties on.
    #[arg(long)]
    end_duties: bool,
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(tracing::Level::INFO);
    // Below info, libraries log each frame of each connection.
    let libraries = LevelFilter::from(level).min(LevelFilter::INFO);
    let filter = Targets::new()
        .with_target("seamfront", level)
        .with_default(libraries);
    let format = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .without_time()
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(format)
        .with(filter)
        .init();
    let settings =
        match settings::load(&args.config).and_then(|settings| settings.with_duties(args.duties)) {
            Ok(settings) => settings,
            Err(e) => {
                let _ = writeln!(std::io::stderr(), "seamfront: {e}");
                return ExitCode::from(2);
            }
        };
    if args.check {
        let _ = writeln!(std::io::stdout(), "settings are valid");
        return ExitCode::SUCCESS;
    }
    if args.show_duties || args.end_duties || args.move_duty.is_some() {
        return run_duty_commands(&args, &settings);
    }
    match driver::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "seamfront: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Requests a transfer, ends the duties and prints their state, as far as each is asked for.
fn run_duty_commands(args: &Args, settings: &ControllerSettings) -> ExitCode {
    let moved = args.move_duty.as_ref().map_or(Ok(()), |request| {
        duty_admin::request_move(settings, request)
    });
    let ended = moved.and_then(|()| {
        if args.end_duties {
            duty_admin::end(settings)
        } else {
            Ok(())
        }
    });
    let shown = ended.and_then(|()| {
        if args.show_duties {
            duty_admin::show(settings)
        } else {
            Ok(String::new())
        }
    });
    match shown {
        Ok(text) => {
            let _ = write!(std::io::stdout(), "{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "seamfront: {e}");
            ExitCode::from(2)
        }
    }
}
