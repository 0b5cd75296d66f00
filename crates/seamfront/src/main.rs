#![forbid(unsafe_code)]

use clap::Parser;
use seamfront::{driver, duty_admin, settings};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Cluster scheduler: runs gangs, arrays and services on rented machines.
#[derive(Parser)]
#[command(
    version,
    about,
    after_help = "Logs go to standard error as much as LOG_LEVEL says \
(error, warn, info, debug). Operators' own settings are read from seamfront.ini beside FILE, if it is there."
)]
struct Args {
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    /// Turn duties on, as `on = yes` in section `duties` of seamfront.ini does.
    #[arg(long)]
    duties: bool,
    /// Print who holds which duty, and exit.
    #[arg(long)]
    show_duties: bool,
    /// Ask the holder of a duty to hand it over, and exit.
    #[arg(long, value_name = "DUTY=MEMBER")]
    move_duty: Option<duty_admin::MoveRequest>,
    /// Go back to one leader's claim, once no controller has duties on any more, and exit.
    #[arg(long)]
    end_duties: bool,
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(tracing::Level::INFO);
    // Libraries log each frame of each connection below info.
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
        return duty_command(&args, &settings);
    }
    match driver::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "seamfront: {e}");
            ExitCode::FAILURE
        }
    }
}

fn duty_command(args: &Args, settings: &settings::Service) -> ExitCode {
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
