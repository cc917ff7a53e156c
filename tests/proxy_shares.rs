//! Fair shares among workspaces.

use std::time::Duration;

use frostdyke::names::WorkspaceName;
use frostdyke::placement::share::Shares;
use frostdyke::placement::share::Tokens;
use proptest::collection;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(4);

fn name(n: usize) -> WorkspaceName {
    WorkspaceName::from(&*format!("w{n}"))
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn who_asks_for_little_is_never_over_its_share() {
    let mut shares = Shares::new(WINDOW);
    for ms in 0..1_000 {
        shares.begin(&name(0), 100, millis(ms));
        shares.refuse(&name(0), 900, millis(ms));
    }
    shares.begin(&name(1), 100, millis(1_000));
    assert!(shares.used(&name(1), 100, millis(1_000)) <= 1.0);
}

#[test]
fn who_had_more_than_the_others_and_asks_on_is_over_its_share() {
    let mut shares = Shares::new(WINDOW);
    for ms in 0..100 {
        shares.begin(&name(0), 300, millis(ms));
        shares.begin(&name(1), 100, millis(ms));
        shares.refuse(&name(1), 400, millis(ms));
    }
    assert!(1.0 < shares.used(&name(0), 300, millis(100)));
    assert!(shares.used(&name(1), 300, millis(100)) < 1.0);
}

#[test]
fn what_is_older_than_the_window_is_forgotten() {
    let mut shares = Shares::new(WINDOW);
    shares.begin(&name(0), 1_000_000, millis(0));
    shares.begin(&name(1), 10, millis(0));
    shares.refuse(&name(1), 1_000_000, millis(0));
    assert!(1.0 < shares.used(&name(0), 10, millis(100)));
    assert!(shares.used(&name(0), 10, millis(4_600)) <= 1.0);
}

proptest! {
    /// Whatever was asked and served: of the workspaces that still want more, the one that got the
    /// least is within its share.
    #[test]
    fn the_one_furthest_behind_is_never_over(
        served in collection::vec((1u64..100_000, 0u64..100_000), 1..20),
    ) {
        let mut shares = Shares::new(WINDOW);
        for (n, (begun, refused)) in served.iter().enumerate() {
            shares.begin(&name(n), *begun, millis(1));
            shares.refuse(&name(n), *refused, millis(1));
        }
        let least = (0..served.len()).min_by_key(|n| served[*n].0).expect("not empty");
        let used = shares.used(&name(least), 1, millis(2));
        prop_assert!(used <= 1.0 + 1e-3, "used {used}");
    }
}

#[test]
fn what_another_box_counted_is_added_and_not_told_again() {
    let mut shares = Shares::new(WINDOW);
    shares.begin(&name(0), 300, millis(0));
    shares.refuse(&name(0), 100, millis(0));
    shares.add(&name(1), Tokens { asked: 900, begun: 200 }, millis(0));
    let own = shares.take_own();
    assert_eq!(own.get(&name(0)), Some(&Tokens { asked: 400, begun: 300 }));
    assert_eq!(own.len(), 1);
    assert!(shares.take_own().is_empty());
    // 500 are shared evenly: 250 for each.
    assert!(1.0 < shares.used(&name(0), 1, millis(1)));
    assert!(shares.used(&name(1), 1, millis(1)) < 1.0);
}
