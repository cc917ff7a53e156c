//! Runs one case of the review: `rig CASE RECORD`.

mod rig;

#[path = "../4/case.rs"]
mod case_4;
#[path = "../5/case.rs"]
mod case_5;
#[path = "../6/case.rs"]
mod case_6;
#[path = "../7/case.rs"]
mod case_7;
#[path = "../8/case.rs"]
mod case_8;

use std::time::Duration;

/// A case runs for less than 120 seconds.
const TIMEOUT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "engine") {
        std::process::exit(rig::run_engine(&args[1..]));
    }
    let [case, record] = &args[..] else {
        eprintln!("usage: rig CASE RECORD");
        std::process::exit(rig::NOT_RUN);
    };
    // The other processes end with this one.
    std::thread::spawn(|| {
        std::thread::sleep(TIMEOUT);
        eprintln!("the case took too long");
        std::process::exit(rig::NOT_RUN);
    });
    let record = rig::Record::create(record);
    let run = match case.as_str() {
        "4" => case_4::run,
        "5" => case_5::run,
        "6" => case_6::run,
        "7" => case_7::run,
        "8" => case_8::run,
        _ => std::process::exit(rig::NOT_RUN),
    };
    let status = run(&record).unwrap_or_else(|| {
        record.say("the case could not run");
        rig::NOT_RUN
    });
    std::process::exit(status);
}
