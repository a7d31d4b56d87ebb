//! Time per decision on one thread, and memory of the lookup table, by size.

use std::hint::black_box;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::FailureDomain;
use corianderway_model::Presence;
use corianderway_model::Priority;
use corianderway_model::Region;
use corianderway_model::Service;
use corianderway_model::Time;
use corianderway_routing::Block;
use corianderway_routing::Caller;
use corianderway_routing::Crash;
use corianderway_routing::Entries;
use corianderway_routing::Fleet;
use corianderway_routing::Lookup;
use corianderway_routing::Outcome;
use corianderway_routing::Quarantine;
use corianderway_routing::Query;
use corianderway_routing::Report;
use corianderway_routing::Router;
use corianderway_routing::Site;
use criterion::BenchmarkId;
use criterion::Criterion;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const SEED: u64 = 41;
const REGIONS: usize = 13;
const SITES: usize = 340;
const SERVICES: usize = 4;
const BLOCKS: [usize; 4] = [1_000, 10_000, 60_000, 180_000];
const SERVERS: [usize; 4] = [56, 560, 3_000, 10_000];
const INSTANCES: [usize; 3] = [10, 200, 1_500];
// Blocks have 2 to the 8th addresses. Only every third one is used, so that there are
// gaps.
const BLOCK_LENGTH: u32 = 24;
const BLOCK_STRIDE: u32 = 3;
const LATENCY: Duration = Duration::from_millis(20);

fn region(at: usize) -> Region {
    format!("r{}", at % REGIONS)
        .try_into()
        .expect("a plain name")
}

fn domain(at: usize) -> FailureDomain {
    let name = format!("r{}-{}", at % REGIONS, at / REGIONS % 4);
    name.try_into().expect("a plain name")
}

fn service(at: usize) -> Service {
    format!("service-{}", at % SERVICES)
        .try_into()
        .expect("a plain name")
}

fn block_start(at: usize) -> u32 {
    (at as u32 * BLOCK_STRIDE) << (u32::BITS - BLOCK_LENGTH)
}

fn lookup(blocks: usize) -> Lookup {
    let site = |at: usize| Site {
        name: format!("site-{at}").into(),
        region: region(at),
        keep_share: 1.0,
        overflow_weight: 1.0,
    };
    let block = |at: usize| {
        let text = format!("{}/{BLOCK_LENGTH}", Ipv4Addr::from_bits(block_start(at)));
        let prefix = text.as_str().try_into().expect("a prefix");
        let site = format!("site-{}", at % SITES).into();
        Block { prefix, site }
    };
    let blocks: Vec<_> = (0..blocks).map(block).collect();
    Lookup::build((0..SITES).map(site).collect(), &blocks).expect("a plain table")
}

fn backend(at: usize) -> Backend {
    Backend {
        id: format!("server-{at}").try_into().expect("a plain name"),
        addr: (Ipv4Addr::from_bits(at as u32), 80).into(),
        service: service(at / REGIONS),
        version: "v1".try_into().expect("a plain name"),
        region: region(at),
        domain: domain(at),
        slots: 3 + at as u32 % 7,
        presence: Presence::Live,
    }
}

fn fleet(servers: usize) -> Fleet {
    let list: Vec<_> = (0..servers).map(backend).collect();
    let mut fleet = Fleet::new().expect("the chart loads");
    fleet.sync(&list, Time::ZERO);
    fleet
}

fn entries(instances: usize) -> Entries {
    let entry = |at: usize| Entry {
        id: format!("entry-{at}").try_into().expect("a plain name"),
        callers: (Ipv4Addr::from_bits(at as u32), 80).into(),
        peers: (Ipv4Addr::from_bits(at as u32), 81).into(),
        region: region(at),
        domain: domain(at),
        presence: Presence::Live,
    };
    let list: Vec<_> = (0..instances).map(entry).collect();
    let mut entries = Entries::new(list[0].id.clone(), LATENCY);
    entries.sync(&list, Time::ZERO);
    entries
}

fn bench_lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("look-up");
    for blocks in BLOCKS {
        let mut table = lookup(blocks);
        println!("look-up table blocks={blocks} bytes={}", table.bytes());
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut addr = || {
            let start = block_start(rng.random_range(0..blocks));
            IpAddr::V4(Ipv4Addr::from_bits(start | 7))
        };
        group.bench_function(BenchmarkId::new("assigned", blocks), |b| {
            b.iter_batched(
                &mut addr,
                |a| black_box(table.find(a)),
                criterion::BatchSize::SmallInput,
            );
        });
        for at in (0..SITES).step_by(2) {
            table
                .set_weights(&format!("site-{at}"), 0.0, 0.0)
                .expect("a known site");
        }
        group.bench_function(BenchmarkId::new("half-failed", blocks), |b| {
            b.iter_batched(
                &mut addr,
                |a| black_box(table.find(a)),
                criterion::BatchSize::SmallInput,
            );
        });
        let middle = Ipv4Addr::from_bits(block_start(blocks / 2));
        let text = format!("{middle}/25");
        let change = Block {
            prefix: text.as_str().try_into().expect("a prefix"),
            site: "site-7".into(),
        };
        group.bench_function(BenchmarkId::new("change", blocks), |b| {
            b.iter(|| {
                table.insert(&change).expect("a known site");
                black_box(table.remove(change.prefix))
            });
        });
    }
}

fn bench_route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for servers in SERVERS {
        let mut fleet = fleet(servers);
        let mut list: Vec<_> = (0..servers).map(backend).collect();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        group.bench_function(BenchmarkId::new("sync", servers), |b| {
            b.iter(|| black_box(fleet.sync(&list, Time::ZERO)));
        });
        let mut next = 0;
        group.bench_function(BenchmarkId::new("report", servers), |b| {
            b.iter(|| {
                next = (next + 1) % servers;
                fleet.record_report(&list[next].id, Report::Load(2), Time::ZERO);
            });
        });
        let router = Router::new(region(0), domain(0));
        let (service, home) = (service(0), region(0));
        let query = Query {
            service: &service,
            home: &home,
            versions: &[],
            priority: Priority::Urgent,
            remaining: Duration::from_secs(2),
            tried: &[],
        };
        let mut rng = SmallRng::seed_from_u64(SEED);
        let now = Time::ZERO;
        group.bench_function(BenchmarkId::new("home", servers), |b| {
            b.iter(|| black_box(router.route(&fleet, &query, rng.random(), |_| false)));
        });
        group.bench_function(BenchmarkId::new("home-and-finish", servers), |b| {
            b.iter(|| {
                let decision = router.route(&fleet, &query, rng.random(), |_| false);
                let ticket = fleet.begin(decision.expect("an idle fleet").server);
                fleet.finish(ticket, Outcome::Answered(LATENCY), now);
            });
        });
        group.bench_function(BenchmarkId::new("tick", servers), |b| {
            b.iter(|| fleet.tick(now));
        });
        let home_servers: Vec<_> = (0..servers).filter(|at| at % REGIONS == 0).collect();
        for at in home_servers {
            fleet.set_drain_planned(&backend(at).id, true, now);
        }
        group.bench_function(BenchmarkId::new("home-lost", servers), |b| {
            b.iter(|| black_box(router.route(&fleet, &query, rng.random(), |_| true)));
        });
    }
}

fn bench_entries(c: &mut Criterion) {
    let mut group = c.benchmark_group("entries");
    for instances in INSTANCES {
        let entries = entries(instances);
        let mut rng = SmallRng::seed_from_u64(SEED);
        let home = region(0);
        group.bench_function(BenchmarkId::new("advise", instances), |b| {
            b.iter(|| {
                let addr = IpAddr::V4(Ipv4Addr::from_bits(rng.random()));
                black_box(entries.entries_for(Caller::Address(addr), &home));
            });
        });
    }
}

fn bench_quarantine(c: &mut Criterion) {
    let mut quarantine = Quarantine::new();
    for number in 0..100_u64 {
        let crash = Crash {
            server: format!("server-{number}").try_into().expect("a plain name"),
            signatures: (number * 8..number * 8 + 9).collect(),
        };
        quarantine.record_crash(crash, Time::from_millis(number));
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    c.bench_function("quarantine/admit-and-complete", |b| {
        b.iter(|| {
            let signature = rng.random();
            black_box(quarantine.admit(signature, Time::ZERO));
            black_box(quarantine.record_completion(signature, Time::ZERO));
        });
    });
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    bench_lookup(&mut criterion);
    bench_route(&mut criterion);
    bench_entries(&mut criterion);
    bench_quarantine(&mut criterion);
    criterion.final_summary();
}
