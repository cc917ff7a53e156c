//! Fair shares among workspaces, and what each gets by them while the engines are busy.

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

#[test]
fn who_asks_for_little_is_never_over_its_share() {
    let mut shares = Shares::new(WINDOW);
    for ms in 0..1_000 {
        shares.begin(&name(0), 100, millis(ms));
        shares.refuse(&name(0), 900, millis(ms));
    }
    shares.begin(&name(1), 100, millis(1_000));
    assert!(shares.share_used(&name(1), 100, millis(1_000)) <= 1.0);
}

#[test]
fn who_had_more_than_the_others_and_asks_on_is_over_its_share() {
    let mut shares = Shares::new(WINDOW);
    for ms in 0..100 {
        shares.begin(&name(0), 300, millis(ms));
        shares.begin(&name(1), 100, millis(ms));
        shares.refuse(&name(1), 400, millis(ms));
    }
    assert!(1.0 < shares.share_used(&name(0), 300, millis(100)));
    assert!(shares.share_used(&name(1), 300, millis(100)) < 1.0);
}

#[test]
fn what_is_older_than_the_window_is_forgotten() {
    let mut shares = Shares::new(WINDOW);
    shares.begin(&name(0), 1_000_000, millis(0));
    shares.begin(&name(1), 10, millis(0));
    shares.refuse(&name(1), 1_000_000, millis(0));
    assert!(1.0 < shares.share_used(&name(0), 10, millis(100)));
    assert!(shares.share_used(&name(0), 10, millis(4_600)) <= 1.0);
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
        let used = shares.share_used(&name(least), 1, millis(2));
        prop_assert!(used <= 1.0 + 1e-3, "used {used}");
    }
}

#[test]
fn what_another_box_counted_is_added_and_not_told_again() {
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

/// Engines that do so many tokens a second, with what waits before them.
struct Engines {
    shares: Shares,
    per_s: f64,
    /// When what was begun so far is done.
    done_at: Duration,
    /// What each workspace got, a second.
    got: Vec<Vec<u64>>,
}

impl Engines {
    /// A request of a workspace comes; it is begun if it needn't wait for longer than it may.
    fn ask(&mut self, workspace: usize, tokens: u64, now: Duration) {
        let used = self.shares.share_used(&name(workspace), tokens, now);
        let (wait_max, _) = admit::wait_limits(Tuning::default(), millis(300), used);
        if wait_max < self.done_at.saturating_sub(now) {
            self.shares.refuse(&name(workspace), tokens, now);
            return;
        }
        self.shares.begin(&name(workspace), tokens, now);
        self.done_at = self.done_at.max(now) + Duration::from_secs_f64(tokens as f64 / self.per_s);
        self.got[workspace][now.as_secs() as usize] += tokens;
    }

    /// What a workspace got from one second to another.
    fn got(&self, workspace: usize, from: usize, to: usize) -> u64 {
        self.got[workspace][from..to].iter().sum()
    }
}

/// Load: engines that do four million tokens a second, a workspace that asks for two million all the time and ten
/// that ask for 100,000 each; one that asks for 30 million from 7 s on, and one that asks for six million from 9 s
/// on. Requests are of 10,000 tokens, as a fleet of 75 engines had them on a day on which the first of the two hot
/// workspaces got 0.38 of the second in six seconds.
#[test]
fn who_was_served_while_there_was_room_is_not_shut_out_when_others_come() {
    const STEP: u64 = 5;
    const TOKENS: u64 = 10_000;
    let mut engines = Engines {
        shares: Shares::new(WINDOW),
        per_s: 4e6,
        done_at: Duration::ZERO,
        got: vec![vec![0; 16]; 13],
    };
    let mut wanted = [0; 13];
    for step in 0..16_000 / STEP {
        let now = millis(step * STEP);
        let hot = |from: u64, rate: u64| if millis(from) <= now { rate } else { 100_000 };
        for (workspace, wanted) in wanted.iter_mut().enumerate() {
            let rate = match workspace {
                0 => 2_000_000,
                1 => hot(7_000, 30_000_000),
                2 => hot(9_000, 6_000_000),
                _ => 100_000,
            };
            *wanted += rate * STEP / 1_000;
            while TOKENS <= *wanted {
                *wanted -= TOKENS;
                engines.ask(workspace, TOKENS, now);
            }
        }
    }
    let (first, second) = (engines.got(1, 9, 15), engines.got(2, 9, 15));
    let part = first as f64 / second as f64;
    assert!(0.5 < part && part < 2.0, "{first} and {second}: {:?}", &engines.got[..3]);
    // Six seconds in each of which it gets less than half are too many; so are two.
    let is_shut_out = |s: &usize| engines.got[1][*s] * 2 < engines.got[2][*s];
    let seconds: Vec<usize> = (9..15).filter(is_shut_out).collect();
    assert!(seconds.len() < 2, "{seconds:?}: {:?}", &engines.got[..3]);
}

#[test]
fn a_request_that_runs_nowhere_is_taken_back_here_and_elsewhere() {
    let (mut here, mut there) = (Shares::new(WINDOW), Shares::new(WINDOW));
    let counted = here.begin(&name(0), 300, millis(0));
    here.remember(1, counted);
    let tell = |here: &mut Shares, there: &mut Shares, now| {
        for (workspace, tokens) in here.take_local() {
            there.add_remote(&workspace, tokens, now);
        }
    };
    tell(&mut here, &mut there, millis(100));
    assert_eq!(there.totals().collect::<Vec<_>>(), [(name(0), TokenCounts::admitted(300))]);
    here.revert(1, millis(600));
    // It is told as less than nothing.
    tell(&mut here, &mut there, millis(700));
    for shares in [&mut here, &mut there] {
        assert_eq!(shares.totals().count(), 0);
        shares.begin(&name(1), 100, millis(800));
        assert_eq!(shares.share_used(&name(1), 100, millis(800)), 1.0);
    }
    here.revert(1, millis(900));
    assert_eq!(here.totals().count(), 1);
}

#[test]
fn a_request_counts_once_however_often_it_is_decided() {
    let mut shares = Shares::new(WINDOW);
    for ms in [0, 50, 90] {
        let counted = shares.begin(&name(0), 300, millis(ms));
        shares.remember(1, counted);
    }
    assert_eq!(shares.totals().collect::<Vec<_>>(), [(name(0), TokenCounts::admitted(300))]);
    assert_eq!(shares.take_local().get(&name(0)), Some(&TokenCounts::admitted(300)));
}

#[test]
fn what_has_fallen_out_of_the_window_isnt_taken_back_from_it() {
    let mut shares = Shares::new(WINDOW);
    let counted = shares.begin(&name(0), 300, millis(0));
    shares.remember(1, counted);
    shares.begin(&name(0), 100, millis(4_600));
    shares.begin(&name(1), 300, millis(4_600));
    shares.revert(1, millis(4_600));
    // 200 of 300, which is the most that anybody wants.
    assert!(0.6 < shares.share_used(&name(0), 100, millis(4_600)));
}

proptest! {
    /// Whatever is counted and taken back in whatever order: nothing is left of what was taken back, and what was
    /// told elsewhere comes to the same.
    #[test]
    fn what_is_told_sums_up_to_what_wasnt_taken_back(
        steps in collection::vec((0u64..8, 0usize..4, 1u64..1_000, proptest::bool::ANY, 0u64..600), 1..60),
    ) {
        let (mut here, mut there) = (Shares::new(WINDOW), Shares::new(WINDOW));
        let mut expected = std::collections::BTreeMap::new();
        let mut now = 0;
        for (request, workspace, tokens, is_begun, pause) in steps {
            now += pause;
            if is_begun {
                let counted = here.begin(&name(workspace), tokens, millis(now));
                here.remember(request, counted);
                expected.insert(request, (workspace, tokens, now));
            } else {
                here.revert(request, millis(now));
                // What was counted longer ago than the window may be remembered or not: nobody asks for it.
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
        let counted: i64 = there.totals().map(|(_, t)| t.admitted).sum();
        prop_assert!(lately as i64 <= counted);
    }
}

fn sorted(shares: &Shares) -> Vec<(WorkspaceName, TokenCounts)> {
    let mut all: Vec<_> = shares.totals().collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}
