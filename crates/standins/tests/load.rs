//! Tests of the load tool's scenarios, schedules and summaries.

use std::path::PathBuf;
use std::time::Duration;

use corianderway_model::Contract;
use corianderway_standins::checker::Ran;
use corianderway_standins::fleet::read_contracts;
use corianderway_standins::load::plot;
use corianderway_standins::load::summarize;
use corianderway_standins::load::table;
use corianderway_standins::load::Attempt;
use corianderway_standins::load::End;
use corianderway_standins::load::Sample;
use corianderway_standins::load::Scenario;
use corianderway_standins::load::Schedule;
use corianderway_standins::load::Target;
use corianderway_standins::load::Way;

fn deploy() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy")
}

fn scenario(name: &str) -> Scenario {
    let path = deploy().join("scenarios").join(name);
    Scenario::read(&path).expect("the scenario is accepted")
}

fn contracts(scenario: &Scenario) -> Vec<Contract> {
    let raw = read_contracts(&deploy().join(&scenario.deployment)).expect("contracts are read");
    let checked = raw.into_iter().map(Contract::try_from);
    checked
        .collect::<Result<_, _>>()
        .expect("every contract is accepted")
}

fn draw(scenario: &Scenario, seed: u64) -> Schedule {
    Schedule::draw(scenario, &contracts(scenario), seed, |_| None)
}

#[test]
fn every_scenario_calls_routes_of_its_deployment() {
    let listed = std::fs::read_dir(deploy().join("scenarios")).expect("the folder is there");
    for entry in listed {
        let path = entry.expect("the folder is readable").path();
        let scenario = Scenario::read(&path).expect("the scenario is accepted");
        let contracts = contracts(&scenario);
        for weight in &scenario.routes {
            let known = |c: &Contract| c.routes.iter().any(|r| r.name.as_str() == weight.route);
            assert!(
                contracts.iter().all(known),
                "{}: {}",
                path.display(),
                weight.route
            );
        }
        for share in &scenario.shares {
            let known = contracts
                .iter()
                .any(|c| c.account.as_str() == share.account);
            assert!(known, "{}: {}", path.display(), share.account);
        }
    }
}

#[test]
fn a_seed_gives_the_same_schedule() {
    let scenario = scenario("steady.yaml");
    let times = |seed| {
        draw(&scenario, seed)
            .arrivals
            .iter()
            .map(|a| a.at)
            .collect::<Vec<_>>()
    };
    assert_eq!(times(7), times(7));
    assert_ne!(times(7), times(8));
}

#[test]
fn a_schedule_has_the_rates_of_the_contracts() {
    let scenario = scenario("greedy-account.yaml");
    let schedule = draw(&scenario, 3);
    for contract in contracts(&scenario) {
        let account = contract.account.as_str();
        let of_account = schedule
            .arrivals
            .iter()
            .filter(|a| a.way == Way::Tested && &*schedule.class(a).account == account);
        let expected = contract.rate * scenario.load_of(account) * scenario.length.as_secs_f64();
        let sent = of_account.clone().count() as f64;
        let tolerance = 6.0 * expected.sqrt();
        assert!(
            (sent - expected).abs() < tolerance,
            "{account}: {sent} of {expected}"
        );
        let within = of_account.filter(|a| a.within).count() as f64;
        let max_within = contract.burst + contract.rate * scenario.length.as_secs_f64();
        assert!(
            within <= max_within,
            "{account}: {within} within {max_within}"
        );
        assert!(
            scenario.load_of(account) > 1.0 || within >= sent - 1.0,
            "{account}"
        );
    }
}

#[test]
fn a_summary_counts_wrongful_refusals() {
    let scenario = scenario("greedy-account.yaml");
    let schedule = draw(&scenario, 3);
    let refused = End::Refused {
        code: "rate-exceeded".into(),
        ran: Ran::No,
    };
    let sample = |arrival| Sample {
        arrival,
        latency: Duration::from_millis(4),
        attempts: vec![Attempt {
            id: arrival.to_string(),
            sent: 0,
            end: refused.clone(),
        }],
    };
    let samples = (0..schedule.arrivals.len()).map(sample).collect::<Vec<_>>();
    let summary = summarize(&scenario, Target::Entries, 3, &schedule, &samples);
    for account in &summary.accounts {
        assert_eq!(account.wrongful, account.within, "{}", account.account);
        assert!(account.share.abs() < f64::EPSILON, "{}", account.account);
    }
    assert!(table(&summary).contains("rate-exceeded="));
    assert!(plot(&summary).ends_with("</svg>"));
}
