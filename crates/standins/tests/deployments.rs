//! Checks the sizes and policies of the deployments under `deploy/`.

use std::path::PathBuf;

use corianderway_model::Access;
use corianderway_model::Contract;
use corianderway_model::Priority;
use corianderway_model::Replay;
use corianderway_standins::fleet::read_contracts;
use corianderway_standins::fleet::Topology;

const DEPLOYMENTS: [&str; 3] = ["lakeshore", "trazo", "local"];

fn folder(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../deploy").join(name)
}

fn contracts(name: &str) -> Vec<Contract> {
    let raw = read_contracts(&folder(name)).expect("every contract is read");
    let checked = raw.into_iter().map(Contract::try_from);
    checked
        .collect::<Result<_, _>>()
        .expect("every contract is accepted")
}

#[test]
fn every_route_and_region_of_a_contract_is_in_the_topology() {
    for name in DEPLOYMENTS {
        let topology = Topology::read(&folder(name)).expect("the topology is accepted");
        for contract in contracts(name) {
            let has_service = |s| topology.services.iter().any(|t| t.name == s);
            let served = contract
                .routes
                .iter()
                .all(|r| has_service(r.service.clone()));
            assert!(served, "{name}: {}", contract.account);
            let listed = |r| topology.regions.iter().any(|t| t.name == r);
            let known = contract.regions.iter().all(|r| listed(r.name.clone()));
            assert!(known, "{name}: {}", contract.account);
        }
    }
}

#[test]
fn deployments_have_the_specified_sizes() {
    for name in ["lakeshore", "trazo"] {
        let topology = Topology::read(&folder(name)).expect("the topology is accepted");
        assert_eq!(contracts(name).len(), 8);
        assert_eq!(topology.regions.len(), 3);
        assert!(topology.regions.iter().all(|r| r.domains.len() == 2));
        assert_eq!(topology.services.len(), 4);
        let sizes = topology.services.iter().map(|s| s.endpoints.len());
        assert!(sizes.into_iter().all(|n| (12..=14).contains(&n)));
        assert!(topology
            .endpoints()
            .all(|(_, e)| (3..=9).contains(&e.slots)));
        assert!((10..=11).contains(&topology.entries.len()));
    }
}

#[test]
fn contracts_have_the_specified_policies() {
    for contract in contracts("lakeshore") {
        let find = |method, path| contract.route(method, path).expect("the route exists");
        let lookup = find("GET", "/capsules/1");
        assert_eq!(
            (lookup.access, lookup.priority),
            (Access::Open, Priority::Urgent)
        );
        assert_eq!(find("POST", "/dedications/1").priority, Priority::Urgent);
        assert_eq!(
            find("GET", "/opening-dates/1").priority,
            Priority::Deferrable
        );
        assert_eq!(find("POST", "/transfers/1").replay, Replay::Once);
    }
    for contract in contracts("trazo") {
        let find = |method, path| contract.route(method, path).expect("the route exists");
        let release = find("POST", "/escrow/releases/1");
        assert_eq!(
            (release.replay, release.priority),
            (Replay::Once, Priority::Urgent)
        );
        assert_eq!(find("GET", "/bids/1").priority, Priority::Urgent);
        assert_eq!(find("GET", "/portfolio/1").access, Access::Open);
    }
}
