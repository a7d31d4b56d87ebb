//! Measures how version moves end, over many seeds, beside a plain canary.
//!
//! `cargo run --release -p corianderway-rollout --example outcomes -- [SEEDS] [RATE] [SECONDS]`

mod canary;
mod fleet;
mod traffic;

use std::time::Duration;

use corianderway_rollout::State;

use crate::fleet::Fleet;
use crate::fleet::Run;
use crate::fleet::Size;
use crate::fleet::Trouble;
use crate::traffic::Kind;

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |usual: u64| {
        let arg = args.next().and_then(|a| a.parse().ok());
        arg.unwrap_or(usual)
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
        "kind",
        "policy",
        "done",
        "back",
        "secs",
        "to-new",
        "met",
        "met-max",
        "after",
        "react",
        "writes",
        "took",
        "most"
    );
    for kind in Kind::SOUND.into_iter().chain(Kind::BAD) {
        let ours = (0..seeds).map(|seed| Fleet::new(kind, size, seed).run());
        print(kind, "ours", &ours.collect::<Vec<_>>());
        let plain = (0..seeds).map(|seed| canary::run(kind, size, seed));
        print(kind, "canary", &plain.collect::<Vec<_>>());
    }
    for (name, trouble) in troubles(size.deadline.as_secs_f64()) {
        println!("{name}");
        for kind in [Kind::Good, Kind::AtOnce, Kind::Late, Kind::Slow] {
            let run = |seed| Fleet::new(kind, size, seed).with_trouble(trouble.clone());
            let ours = (0..seeds).map(|seed| run(seed).run());
            print(kind, "ours", &ours.collect::<Vec<_>>());
        }
    }
}

fn troubles(span: f64) -> Vec<(&'static str, Trouble)> {
    let usual = Trouble::default;
    vec![
        (
            "platform out from 10% to 70% of the move",
            Trouble {
                outage: span * 0.1..span * 0.7,
                ..usual()
            },
        ),
        (
            "a third of the answers to writes and of the messages lost",
            Trouble {
                lost: 0.33,
                dropped: 0.33,
                ..usual()
            },
        ),
        (
            "every instance takes itself for the mover",
            Trouble {
                alone: true,
                ..usual()
            },
        ),
        (
            "the mover dies as the trial begins",
            Trouble {
                killer: Some(State::Trial),
                ..usual()
            },
        ),
    ]
}

fn print(kind: Kind, policy: &str, runs: &[Run]) {
    let count = |pick: fn(&Run) -> bool| runs.iter().filter(|r| pick(r)).count();
    let mean = |pick: fn(&Run) -> f64| runs.iter().map(pick).sum::<f64>() / runs.len() as f64;
    println!(
        "{:<16} {:<6} {:>5} {:>5} {:>7.0} {:>8.0} {:>7.0} {:>7} {:>6.1} {:>7.1} {:>6.1} {:>5.1} {:>5.2}",
        format!("{kind:?}"),
        policy,
        count(|r| r.finished),
        count(|r| r.withdrawn),
        mean(|r| r.secs),
        mean(|r| r.new as f64),
        mean(|r| r.met as f64),
        runs.iter().map(|r| r.met).max().unwrap_or(0),
        mean(|r| r.after as f64),
        mean(|r| r.reaction),
        mean(|r| r.writes as f64),
        mean(|r| r.revisions as f64),
        mean(|r| r.most),
    );
}
