//! The stand-ins of the cases 4 to 6 and of more-2: state service, cloud, workers and users, all on loopback. One process plays one
//! case against the project's own controllers, which it starts with the commands of the deploy file.
//!
//!     standins-2 CASE FOLDER
//!
//! It is started in the project's root and writes `record.txt` into FOLDER. It exits with 0 if the rule held, 1 if it
//! was broken, 2 if the case couldn't run. With `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod deploy;
mod explore;
mod http;
mod json;
mod store;
mod world;

use std::path::{Path, PathBuf};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        println!("usage: standins-2 CASE FOLDER");
        std::process::exit(2);
    };
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let status = cases::play(&case, &root, Path::new(&folder), trouble);
    std::process::exit(status);
}
