//! Measures the results of version moves over many seeds, beside those of a fixed canary.
//!
//! `cargo run --release -p corianderway-rollout --example outcomes -- [SEEDS] [RATE] [SECONDS]`

mod canary;
mod fleet;
mod traffic;

use std::time::Duration;

use corianderway_rollout::State;

use crate::fleet::Faults;
use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::Size;
use crate::traffic::Profile;

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |fallback: u64| {
        let arg = args.next().and_then(|a| a.parse().ok());
        arg.unwrap_or(fallback)
    };
    let seeds = number(100);
    let size = Size {
        rate: number(150) as f64,
        deadline: Duration::from_secs(number(600)),
        instances: 5,
    };
    println!("{size:?}, seeds 0..{seeds}");
    println!(
        "{:<16} {:<6} {:>5} {:>5} {:>7} {:>8} {:>7} {:>7} {:>6} {:>7} {:>6} {:>5} {:>5}",
        "profile",
        "policy",
        "done",
        "back",
        "secs",
        "to-new",
        "exposed",
        "exp-max",
        "after",
        "react",
        "writes",
        "revs",
        "share"
    );
    for profile in Profile::SOUND.into_iter().chain(Profile::BAD) {
        let ours = (0..seeds).map(|seed| Fleet::new(profile, size, seed).run());
        print(profile, "ours", &ours.collect::<Vec<_>>());
        let plain = (0..seeds).map(|seed| canary::run(profile, size, seed));
        print(profile, "canary", &plain.collect::<Vec<_>>());
    }
    for (name, faults) in fault_cases(size.deadline.as_secs_f64()) {
        println!("{name}");
        for profile in [Profile::Good, Profile::AtOnce, Profile::Late, Profile::Slow] {
            let run = |seed| Fleet::new(profile, size, seed).with_faults(faults.clone());
            let ours = (0..seeds).map(|seed| run(seed).run());
            print(profile, "ours", &ours.collect::<Vec<_>>());
        }
    }
}

fn fault_cases(span: f64) -> Vec<(&'static str, Faults)> {
    let none = Faults::default;
    vec![
        (
            "platform down from 10% to 70% of the move",
            Faults {
                outage: span * 0.1..span * 0.7,
                ..none()
            },
        ),
        (
            "a third of the answers to writes and of the messages lost",
            Faults {
                lost_answers: 0.33,
                lost_messages: 0.33,
                ..none()
            },
        ),
        (
            "every instance writes as if it were the only one",
            Faults {
                all_write: true,
                ..none()
            },
        ),
        (
            "the writer dies as the trial begins",
            Faults {
                killed_writer: Some(State::Trial),
                ..none()
            },
        ),
    ]
}

fn print(profile: Profile, policy: &str, runs: &[Run]) {
    let count = |pick: fn(&Run) -> bool| runs.iter().filter(|r| pick(r)).count();
    let mean = |pick: fn(&Run) -> f64| runs.iter().map(pick).sum::<f64>() / runs.len() as f64;
    println!(
        "{:<16} {:<6} {:>5} {:>5} {:>7.0} {:>8.0} {:>7.0} {:>7} {:>6.1} {:>7.1} {:>6.1} {:>5.1} {:>5.2}",
        format!("{profile:?}"),
        policy,
        count(|r| r.finished),
        count(|r| r.withdrawn),
        mean(|r| r.secs),
        mean(|r| r.new as f64),
        mean(|r| r.exposed as f64),
        runs.iter().map(|r| r.exposed).max().unwrap_or(0),
        mean(|r| r.after_stop as f64),
        mean(|r| r.reaction),
        mean(|r| r.writes as f64),
        mean(|r| r.revisions as f64),
        mean(|r| r.max_share),
    );
}
