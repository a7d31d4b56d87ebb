//! Measures the resident memory of the tables, by size.
//!
//! `cargo run --release -p corianderway-routing --example memory`

use std::fs;
use std::net::Ipv4Addr;
use std::time::Duration;

use corianderway_model::Backend;
use corianderway_model::Entry;
use corianderway_model::Presence;
use corianderway_model::Time;
use corianderway_routing::Block;
use corianderway_routing::Entries;
use corianderway_routing::Fleet;
use corianderway_routing::Lookup;
use corianderway_routing::Site;

const REGIONS: usize = 13;
const SITES: usize = 340;
const PAGE_BYTES: usize = 4096;
// Number of tables built for one measurement, so that rounding to whole pages
// matters little.
const COPIES: usize = 16;

fn main() {
    println!("| table | entries | bytes in all | bytes an entry |\n|---|---|---|---|");
    for count in [200, 700, 1_500] {
        measure("entries", count, || entries(count));
    }
    for count in [560, 3_000, 10_000] {
        measure("fleet", count, || fleet(count));
    }
    for count in [10_000, 60_000, 180_000] {
        measure("look-up", count, || lookup(count));
    }
}

fn measure<T>(table: &str, count: usize, build: impl Fn() -> T) {
    let before = resident_bytes();
    let tables: Vec<T> = (0..COPIES).map(|_| build()).collect();
    let bytes = resident_bytes().saturating_sub(before) / tables.len();
    println!("| {table} | {count} | {bytes} | {} |", bytes / count);
    // Not freed, so that the next table can't reuse the memory.
    std::mem::forget(tables);
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn backend(at: usize) -> Backend {
    let region = format!("region-{}", at % REGIONS);
    Backend {
        id: format!("server-{at}").try_into().expect("a plain name"),
        addr: (Ipv4Addr::from_bits(at as u32), 80).into(),
        service: "finder".try_into().expect("a plain name"),
        version: "v1".try_into().expect("a plain name"),
        domain: format!("{region}-a").try_into().expect("a plain name"),
        region: region.try_into().expect("a plain name"),
        slots: 6,
        presence: Presence::Live,
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new().expect("the chart loads");
    for at in 0..count {
        // One by one, so that the heap doesn't grow by a temporary list.
        fleet.sync(&[backend(at)], Time::ZERO);
    }
    fleet
}

fn entries(count: usize) -> Entries {
    let entry = |at: usize| {
        let server = backend(at);
        Entry {
            id: format!("entry-{at}").try_into().expect("a plain name"),
            callers: server.addr,
            peers: server.addr,
            region: server.region,
            domain: server.domain,
            presence: Presence::Live,
        }
    };
    let list: Vec<_> = (0..count).map(entry).collect();
    let mut entries = Entries::new(list[0].id.clone(), Duration::from_secs(10));
    entries.sync(&list, Time::ZERO);
    entries
}

fn lookup(count: usize) -> Lookup {
    let site = |at: usize| Site {
        name: format!("site-{at}").into(),
        region: format!("region-{}", at % REGIONS)
            .try_into()
            .expect("a plain name"),
        keep_share: 1.0,
        overflow_weight: 1.0,
    };
    let sites: Vec<_> = (0..SITES).map(site).collect();
    let names: Vec<_> = sites.iter().map(|s| s.name.clone()).collect();
    let block = |at: usize| {
        let text = format!("{}/24", Ipv4Addr::from_bits((at as u32 * 3) << 8));
        let prefix = text.as_str().try_into().expect("a prefix");
        let site = names[at % SITES].clone();
        Block { prefix, site }
    };
    let blocks: Vec<_> = (0..count).map(block).collect();
    Lookup::build(sites, &blocks).expect("a plain table")
}
