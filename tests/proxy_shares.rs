//! Fair shares among workspaces, and what each workspace gets while the engines are busy.

use std::time::Duration;

use frostdyke::names::WorkspaceName;
use frostdyke::placement::admit;
use frostdyke::placement::share::Shares;
use frostdyke::placement::share::TokenCounts;
use frostdyke::placement::tuning::Tuning;
use proptest::collection;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(4);

fn name(n: usize) -> WorkspaceName {
    WorkspaceName::from(&*format!("w{n}"))
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One that sends few requests must not be refused because another floods the engines.
#[test]
fn a_workspace_with_little_demand_is_never_over_its_share() {
    let mut shares = Shares::new(WINDOW);
    for ms in 0..1_000 {
        shares.begin(&name(0), 100, millis(ms));
        shares.refuse(&name(0), 900, millis(ms));
    }
    shares.begin(&name(1), 100, millis(1_000));
    assert!(shares.share_used(&name(1), 100, millis(1_000)) <= 1.0);
}

/// Otherwise the one that was admitted first keeps the engines.
#[test]
fn a_workspace_that_got_more_than_others_is_over_its_share() {
    let mut shares = Shares::new(WINDOW);
    for ms in 0..100 {
        shares.begin(&name(0), 300, millis(ms));
        shares.begin(&name(1), 100, millis(ms));
        shares.refuse(&name(1), 400, millis(ms));
    }
    assert!(1.0 < shares.share_used(&name(0), 300, millis(100)));
    assert!(shares.share_used(&name(1), 300, millis(100)) < 1.0);
}

/// A workspace must not be refused for usage of long ago.
#[test]
fn usage_older_than_the_window_is_dropped() {
    let mut shares = Shares::new(WINDOW);
    shares.begin(&name(0), 1_000_000, millis(0));
    shares.begin(&name(1), 10, millis(0));
    shares.refuse(&name(1), 1_000_000, millis(0));
    assert!(1.0 < shares.share_used(&name(0), 10, millis(100)));
    assert!(shares.share_used(&name(0), 10, millis(4_600)) <= 1.0);
}

proptest! {
    /// Whatever was requested and admitted: of the workspaces that still want more, the one that
    /// got the least is within its share.
    #[test]
    fn the_least_served_workspace_is_never_over_its_share(
        served in collection::vec((1u64..100_000, 0u64..100_000), 1..20),
    ) {
        let mut shares = Shares::new(WINDOW);
        for (n, (admitted, refused)) in served.iter().enumerate() {
            shares.begin(&name(n), *admitted, millis(1));
            shares.refuse(&name(n), *refused, millis(1));
        }
        let least = (0..served.len()).min_by_key(|n| served[*n].0).expect("not empty");
        let used = shares.share_used(&name(least), 1, millis(2));
        prop_assert!(used <= 1.0 + 1e-3, "used {used}");
    }
}

/// Reported again, it would be counted twice elsewhere.
#[test]
fn usage_reported_by_another_box_is_not_reported_again() {
    let mut shares = Shares::new(WINDOW);
    shares.begin(&name(0), 300, millis(0));
    shares.refuse(&name(0), 100, millis(0));
    shares.add_remote(&name(1), TokenCounts { requested: 900, admitted: 200 }, millis(0));
    let own = shares.take_local();
    assert_eq!(own.get(&name(0)), Some(&TokenCounts { requested: 400, admitted: 300 }));
    assert_eq!(own.len(), 1);
    assert!(shares.take_local().is_empty());
    // 500 are shared evenly: 250 for each.
    assert!(1.0 < shares.share_used(&name(0), 1, millis(1)));
    assert!(shares.share_used(&name(1), 1, millis(1)) < 1.0);
}

/// Engines with a fixed throughput in tokens a second, and a queue.
struct Engines {
    shares: Shares,
    throughput: f64,
    /// When all admitted requests are complete.
    done_at: Duration,
    /// Tokens admitted of each workspace, per second.
    admitted: Vec<Vec<u64>>,
}

impl Engines {
    /// Admits a request of a workspace if it wouldn't wait for longer than it may.
    fn request(&mut self, workspace: usize, tokens: u64, now: Duration) {
        let used = self.shares.share_used(&name(workspace), tokens, now);
        let (wait_max, _) = admit::wait_limits(Tuning::default(), millis(300), used);
        if wait_max < self.done_at.saturating_sub(now) {
            self.shares.refuse(&name(workspace), tokens, now);
            return;
        }
        self.shares.begin(&name(workspace), tokens, now);
        self.done_at =
            self.done_at.max(now) + Duration::from_secs_f64(tokens as f64 / self.throughput);
        self.admitted[workspace][now.as_secs() as usize] += tokens;
    }

    /// Tokens admitted of a workspace from one second to another.
    fn admitted(&self, workspace: usize, from: usize, to: usize) -> u64 {
        self.admitted[workspace][from..to].iter().sum()
    }
}

/// Load: engines that serve four million tokens a second, a workspace that sends two million all
/// the time and ten that send 100,000 each; one that sends 30 million from 7 s on, and one that
/// sends six million from 9 s on. Requests are of 10,000 tokens. With such a load a fleet of 75
/// engines served the first of the two hot workspaces only 0.38 of what the second got in six
/// seconds.
#[test]
fn a_workspace_served_while_engines_were_idle_is_not_starved_when_others_come() {
    const STEP: u64 = 5;
    const TOKENS: u64 = 10_000;
    let mut engines = Engines {
        shares: Shares::new(WINDOW),
        throughput: 4e6,
        done_at: Duration::ZERO,
        admitted: vec![vec![0; 16]; 13],
    };
    let mut pending = [0; 13];
    for step in 0..16_000 / STEP {
        let now = millis(step * STEP);
        let rate_from = |from: u64, rate: u64| if millis(from) <= now { rate } else { 100_000 };
        for (workspace, pending) in pending.iter_mut().enumerate() {
            let rate = match workspace {
                0 => 2_000_000,
                1 => rate_from(7_000, 30_000_000),
                2 => rate_from(9_000, 6_000_000),
                _ => 100_000,
            };
            *pending += rate * STEP / 1_000;
            while TOKENS <= *pending {
                *pending -= TOKENS;
                engines.request(workspace, TOKENS, now);
            }
        }
    }
    let (first, second) = (engines.admitted(1, 9, 15), engines.admitted(2, 9, 15));
    let ratio = first as f64 / second as f64;
    assert!(0.5 < ratio && ratio < 2.0, "{first} and {second}: {:?}", &engines.admitted[..3]);
    // In one of six seconds, not in two, it may get less than half.
    let is_starved = |s: &usize| engines.admitted[1][*s] * 2 < engines.admitted[2][*s];
    let seconds: Vec<usize> = (9..15).filter(is_starved).collect();
    assert!(seconds.len() < 2, "{seconds:?}: {:?}", &engines.admitted[..3]);
}

/// A charge for nothing would put the workspace over its share.
#[test]
fn the_charge_of_a_request_that_never_ran_is_reverted_on_all_boxes() {
    let (mut here, mut there) = (Shares::new(WINDOW), Shares::new(WINDOW));
    let charge = here.begin(&name(0), 300, millis(0));
    here.remember(1, charge);
    let exchange = |here: &mut Shares, there: &mut Shares, now| {
        for (workspace, tokens) in here.take_local() {
            there.add_remote(&workspace, tokens, now);
        }
    };
    exchange(&mut here, &mut there, millis(100));
    assert_eq!(there.totals().collect::<Vec<_>>(), [(name(0), TokenCounts::admitted(300))]);
    here.revert(1, millis(600));
    // The reverted charge is reported as a negative one.
    exchange(&mut here, &mut there, millis(700));
    for shares in [&mut here, &mut there] {
        assert_eq!(shares.totals().count(), 0);
        shares.begin(&name(1), 100, millis(800));
        assert_eq!(shares.share_used(&name(1), 100, millis(800)), 1.0);
    }
    here.revert(1, millis(900));
    assert_eq!(here.totals().count(), 1);
}

/// A repeated placement request must not charge the workspace again.
#[test]
fn a_request_is_charged_once_however_often_it_is_decided() {
    let mut shares = Shares::new(WINDOW);
    for ms in [0, 50, 90] {
        let charge = shares.begin(&name(0), 300, millis(ms));
        shares.remember(1, charge);
    }
    assert_eq!(shares.totals().collect::<Vec<_>>(), [(name(0), TokenCounts::admitted(300))]);
    assert_eq!(shares.take_local().get(&name(0)), Some(&TokenCounts::admitted(300)));
}

/// Reverting a charge that the window no longer contains would reduce later usage.
#[test]
fn a_charge_older_than_the_window_is_not_reverted() {
    let mut shares = Shares::new(WINDOW);
    let charge = shares.begin(&name(0), 300, millis(0));
    shares.remember(1, charge);
    shares.begin(&name(0), 100, millis(4_600));
    shares.begin(&name(1), 300, millis(4_600));
    shares.revert(1, millis(4_600));
    // 200 of 300, which is the most that any workspace wants.
    assert!(0.6 < shares.share_used(&name(0), 100, millis(4_600)));
}

proptest! {
    /// Whatever is charged and reverted, in whatever order: nothing remains of reverted charges,
    /// and another box arrives at the same totals.
    #[test]
    fn reported_charges_add_up_to_those_not_reverted(
        steps in collection::vec((0u64..8, 0usize..4, 1u64..1_000, proptest::bool::ANY, 0u64..600), 1..60),
    ) {
        let (mut here, mut there) = (Shares::new(WINDOW), Shares::new(WINDOW));
        let mut expected = std::collections::BTreeMap::new();
        let mut now = 0;
        for (request, workspace, tokens, is_admitted, pause) in steps {
            now += pause;
            if is_admitted {
                let charge = here.begin(&name(workspace), tokens, millis(now));
                here.remember(request, charge);
                expected.insert(request, (workspace, tokens, now));
            } else {
                here.revert(request, millis(now));
                // A charge older than the window may be remembered or not: it no longer matters.
                if expected.get(&request).is_some_and(|(_, _, at)| now <= at + 4_000) {
                    expected.remove(&request);
                }
            }
            for (workspace, tokens) in here.take_local() {
                there.add_remote(&workspace, tokens, millis(now));
            }
            prop_assert_eq!(sorted(&here), sorted(&there));
        }
        let lately: u64 = expected.values().filter(|(_, _, at)| now <= at + 4_000).map(|(_, t, _)| t).sum();
        let charge: i64 = there.totals().map(|(_, t)| t.admitted).sum();
        prop_assert!(lately as i64 <= charge);
    }
}

fn sorted(shares: &Shares) -> Vec<(WorkspaceName, TokenCounts)> {
    let mut all: Vec<_> = shares.totals().collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}
