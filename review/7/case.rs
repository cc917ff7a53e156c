//! An engine drains while a box that has just started reads the pages of the list of engines.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::rig::*;

const SERVICE: &str = "ledger-api";
const ENGINE: EngineSettings = EngineSettings { work_ms: 60, body_bytes: 800, slots: 6, ..SOUND };
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Engines of another service, so that the list has two pages.
const OTHER_SERVICE: &str = "notes-api";
const OTHER_ENGINES: usize = 57;

/// The bounds `contact_ms` and `drain_ms` of the deployment.
const CONTACT_MS: u64 = 3000;
const DRAIN_MS: u64 = 2000;

/// How long the engine serves on after the store has taken that it drains.
const SERVES_ON_MS: u64 = 12_000;

pub fn run(record: &Arc<Record>) -> Option<i32> {
    let rig = Arc::new(Rig::new(record.clone(), 6));
    let table = configuration(1, &[route("cash", "safe", SERVICE, 1000, 150)], SERVICE, 16384);
    rig.store.put("config", "main", &table);
    let mut engines = Vec::new();
    for (id, zone) in ["i-a1", "i-a2", "i-a3"].iter().zip(ZONES) {
        engines.push(rig.start_engine(id, None, SERVICE, zone, ENGINE)?);
    }
    let mut others = Vec::new();
    for n in 0..OTHER_ENGINES {
        let id = format!("i-b{n:02}");
        others.push(rig.start_engine(&id, None, OTHER_SERVICE, ZONES[n % 3], ENGINE)?);
    }
    let mut boxes = rig.start_boxes(&ZONES, WALLET_MACHINE)?;
    sleep_ms(2000);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for n in 0..18 {
        let (addr, rig, is_over) = (boxes[n % 3].callers, rig.clone(), is_over.clone());
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let call = Call {
                    method: "GET",
                    path: format!("/cash/box-{}/c{n}-{number}", n % 3),
                    id: rig.attempt_id(),
                    deadline_ms: 1000,
                    body: String::new(),
                    more: String::new(),
                };
                rig.record.line(&format!("client sends {} GET {} to {addr}", call.id, call.path));
                let answer = send(addr, &call);
                rig.record.line(&format!(
                    "client gets {} for {} {}",
                    answer.status, call.id, answer.fault
                ));
                sleep_ms(20);
            }
        }));
    }
    sleep_ms(3000);
    let acknowledged_at = Arc::new(Mutex::new(None));
    let leaving = engines[0].leaving_entry(&rig);
    let at = acknowledged_at.clone();
    if has_trouble() {
        rig.store.after_next_page(move || *at.lock().unwrap() = Some(leaving()));
        record.line("box 0 is killed and started again");
        boxes[0].kill_and_restart()?;
        sleep_ms(2000);
    } else {
        *at.lock().unwrap() = Some(leaving());
    }
    engines[0].note_leaving();
    let acknowledged_at = (*acknowledged_at.lock().unwrap())?;
    sleep_ms(SERVES_ON_MS);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    let runs = rig.runs.lock().unwrap().clone();
    // The box that was killed is in touch `contact_ms` after its start, which was earlier.
    let bound = acknowledged_at + DRAIN_MS.max(CONTACT_MS + 1000);
    let late = runs.iter().filter(|run| run.engine == engines[0].id && bound < run.at);
    let late_count = late.clone().count();
    let last = late.map(|run| run.at - acknowledged_at).max().unwrap_or(0);
    record.say(&format!(
        "requests that reached engine {} later than {} ms after the acknowledgement: {late_count}, the last one {last} ms after it",
        engines[0].id,
        bound - acknowledged_at
    ));
    Some(if late_count == 0 { HELD } else { BROKEN })
}
