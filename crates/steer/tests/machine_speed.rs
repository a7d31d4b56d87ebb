//! Backend servers on machines that other programs use too: what servers state of the speed
//! of their machines, and which requests avoid the slow ones.

mod rig;

use std::time::Duration;

use corianderway_model::Time;
use corianderway_steer::Action;
use corianderway_steer::Event;
use corianderway_steer::Load;
use corianderway_steer::Note;
use corianderway_steer::Outcome;
use corianderway_steer::RequestId;
use corianderway_steer::ServerChange;
use rand::rngs::SmallRng;
use rand::Rng as _;
use rand::SeedableRng as _;

use crate::rig::Rig;

/// The work of a request on a machine of the usual speed.
const WORK: Duration = Duration::from_millis(120);

/// How long a machine keeps its speed.
const SPEED_SPAN: Duration = Duration::from_millis(600);

/// The share of machines that are slow at a time.
const SLOW_SHARE: f64 = 0.15;

/// How long work takes on a slow machine, in percent of the usual.
const SLOW_PERCENT: u32 = 250;

/// The time between two steps of the replay.
const STEP: Duration = Duration::from_millis(20);

/// The load of the replay: requests at a steady rate for servers whose machines are slow by
/// turns.
struct Replay {
    rig: Rig,
    rng: SmallRng,
    // The time to which each machine keeps its speed, and the speed in percent.
    machines: Vec<(Time, u32)>,
    // The requests in flight, with their ends, machines and speeds.
    running: Vec<(Time, RequestId, usize, u32)>,
    states_speed: bool,
}

impl Replay {
    fn new(servers: usize, states_speed: bool) -> Self {
        let names: Vec<String> = (0..servers).map(|number| format!("s{number}")).collect();
        let listed = names
            .iter()
            .map(|name| rig::server(name, "bids", "north", "north-a"));
        let mut rig = Rig::bare(rig::member("entry-1", "north", "north-a"));
        rig.settle(rig::plan(1, rig::routes(), None), listed.collect());
        let machines = vec![(rig.now, 100); servers];
        let rng = SmallRng::seed_from_u64(7);
        Self {
            rig,
            rng,
            machines,
            running: Vec::new(),
            states_speed,
        }
    }

    fn change_speeds(&mut self) {
        for (until, percent) in &mut self.machines {
            while *until <= self.rig.now {
                let slow = self.rng.random_bool(SLOW_SHARE);
                *percent = if slow { SLOW_PERCENT } else { 100 };
                *until = *until + SPEED_SPAN;
            }
        }
    }

    fn end_due(&mut self) {
        let now = self.rig.now;
        for (_, id, machine, _) in self.running.extract_if(.., |row| row.0 <= now) {
            let stretch = self.states_speed.then_some(self.machines[machine].1);
            let load = Load {
                running: 1,
                waiting: 0,
                slots: 4,
                stretch,
            };
            let (status, load) = (200, Some(load));
            self.rig.end(id, Outcome::Answered { status, load });
        }
    }

    // Sends requests for a time; returns which share of them began on a slow machine.
    fn share_on_slow(&mut self, span: Duration, interval: Duration) -> f64 {
        let end = self.rig.now + span;
        let (mut slow, mut all) = (0.0, 0.0);
        let mut due = self.rig.now;
        while self.rig.now < end {
            self.rig.now = self.rig.now + STEP;
            self.change_speeds();
            self.end_due();
            if self.rig.now < due {
                continue;
            }
            due = due + interval;
            let id = self.rig.request("/bids/1", None);
            let Some(server) = self.rig.sent(id) else {
                continue;
            };
            let machine: usize = server[1..].parse().expect("a server's number");
            let percent = self.machines[machine].1;
            let until = self.rig.now + WORK.mul_f64(f64::from(percent) / 100.0);
            self.running.push((until, id, machine, percent));
            all += 1.0;
            slow += f64::from(u8::from(percent > 100));
        }
        slow / all
    }
}

// Replays servers of which some take 2.5 times as long for 0.6 s at a time.
#[test]
fn fewer_requests_begin_on_slow_machines_where_servers_state_their_speed() {
    let share = |states| {
        let mut replay = Replay::new(8, states);
        replay.share_on_slow(Duration::from_secs(10), Duration::from_millis(20));
        replay.share_on_slow(Duration::from_mins(1), Duration::from_millis(20))
    };
    let (unstated, stated) = (share(false), share(true));
    println!("share on slow machines: {unstated:.3} unstated, {stated:.3} stated");
    assert!(
        stated < 0.6 * unstated,
        "{stated:.3}, {unstated:.3} unstated"
    );
}

// Where statements are much older than a speed lasts, they must not drive requests together.
#[test]
fn old_statements_change_little() {
    let mut replay = Replay::new(8, true);
    let interval = Duration::from_millis(900);
    let share = replay.share_on_slow(Duration::from_mins(20), interval);
    println!("share on slow machines: {share:.3}");
    assert!((0.10..0.20).contains(&share), "{share:.3}");
}

// A server that was slow since its machine was is no slow server afterwards.
#[test]
fn the_speed_of_a_machine_is_not_taken_for_slowness_of_its_server() {
    let mut replay = Replay::new(2, true);
    for machine in &mut replay.machines {
        machine.0 = replay.rig.now + Duration::from_hours(1);
    }
    replay.share_on_slow(Duration::from_secs(20), Duration::from_millis(50));
    replay.machines[0].1 = SLOW_PERCENT;
    // The statements are too old to be expected.
    replay.share_on_slow(Duration::from_secs(20), Duration::from_secs(2));
    replay.machines[0].1 = 100;
    while !replay.running.is_empty() {
        replay.rig.now = replay.rig.now + STEP;
        replay.end_due();
    }
    // Longer than a statement counts.
    replay.rig.now = replay.rig.now + Duration::from_secs(2);
    let s1 = ServerChange::Removed("s1".try_into().expect("a valid id"));
    replay.rig.step(Event::Servers(vec![s1]));
    replay.rig.request("/bids/1", None);
    let work = replay.rig.out.iter().find_map(|action| match action {
        Action::Log(note) => expected_work(note),
        _ => None,
    });
    let work = work.expect("the request is sent");
    assert!(work < 1.5 * WORK.as_secs_f64() * 1_000.0, "{work} ms");
}

// Returns the expected work at the chosen server, in milliseconds, if the note tells it.
fn expected_work(note: &Note) -> Option<f64> {
    let choice = note.fields.iter().find(|field| field.0 == "choice")?;
    let work = choice
        .1
        .split('/')
        .find_map(|part| part.strip_prefix("work:"));
    work?.parse().ok()
}
