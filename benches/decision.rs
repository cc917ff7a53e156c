//! Cost of one placement decision: a ticket is registered, granted and completed, with a backlog of
//! many workspaces and 300 engines. `cargo bench --bench decision`.

#[path = "../tests/util/catalog.rs"]
mod catalog;
#[path = "capacity/pool.rs"]
mod pool;

use pool::Backlog;

fn main() {
    divan::main();
}

#[divan::bench(args = [10, 100, 500, 1000, 5000])]
fn workspaces(bencher: divan::Bencher, workspaces: usize) {
    let mut backlog = Backlog::new(workspaces, 300);
    bencher.bench_local(|| backlog.replace_one());
}

#[divan::bench(args = [3, 30, 300, 3000])]
fn engines(bencher: divan::Bencher, engines: usize) {
    let mut backlog = Backlog::new(500, engines);
    bencher.bench_local(|| backlog.replace_one());
}
