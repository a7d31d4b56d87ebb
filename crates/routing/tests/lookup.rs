//! Tests of lookups against a linear scan of the blocks, and of what moves when a
//! site fails.

mod common;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;

use corianderway_routing::Block;
use corianderway_routing::Cause;
use corianderway_routing::Lookup;
use corianderway_routing::Prefix;
use corianderway_routing::Site;

const SITES: usize = 12;
const REGIONS: usize = 3;

fn sites() -> Vec<Site> {
    let site = |at: usize| Site {
        name: format!("site-{at}").into(),
        region: format!("r{}", at % REGIONS).as_str().try_into().unwrap(),
        keep_share: 1.0,
        overflow_weight: 1.0,
    };
    (0..SITES).map(site).collect()
}

// Only the upper eight bits vary, so that prefixes often nest or are equal.
fn block((bits, length, site): (u8, u8, u8)) -> Block {
    let text = if site.is_multiple_of(4) {
        let length = length % 9;
        let high = u128::from(bits & !(0xff_u16 >> length) as u8) << 120;
        format!("{}/{length}", Ipv6Addr::from_bits(high))
    } else {
        let length = length % 9;
        let high = u32::from(bits & !(0xff_u16 >> length) as u8) << 24;
        format!("{}/{length}", Ipv4Addr::from_bits(high))
    };
    Block {
        prefix: text.as_str().try_into().unwrap(),
        site: format!("site-{}", usize::from(site) % SITES).into(),
    }
}

fn addresses() -> impl Iterator<Item = IpAddr> {
    let v4 = |high: u8| IpAddr::V4(Ipv4Addr::new(high, 7, 7, 7));
    let v6 = |high: u8| IpAddr::V6(Ipv6Addr::from_bits(u128::from(high) << 120 | 7));
    (0..=u8::MAX).flat_map(move |high| [v4(high), v6(high)])
}

fn scan(blocks: &[Block], addr: IpAddr) -> Option<&Block> {
    let around = blocks.iter().filter(|b| b.prefix.contains(addr));
    around.max_by_key(|b| b.prefix.length())
}

fn equals_scan(lookup: &Lookup, blocks: &[Block]) -> bool {
    addresses().all(|addr| {
        let found = lookup.find(addr).unwrap();
        match scan(blocks, addr) {
            Some(block) => found.site.name == block.site && found.cause == Cause::Assigned,
            None => found.cause == Cause::Unlisted,
        }
    })
}

fn unique_blocks(rows: &[(u8, u8, u8)]) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    for row in rows {
        let next = block(*row);
        if blocks.iter().all(|b| b.prefix != next.prefix) {
            blocks.push(next);
        }
    }
    blocks
}

#[test]
fn a_built_table_equals_a_linear_scan() {
    fn property(rows: Vec<(u8, u8, u8)>) -> bool {
        let blocks = unique_blocks(&rows);
        let lookup = Lookup::build(sites(), &blocks).unwrap();
        equals_scan(&lookup, &blocks)
    }
    common::check(60, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_changed_table_equals_a_linear_scan() {
    fn property(rows: Vec<(u8, u8, u8)>, changes: Vec<(u8, u8, u8)>) -> bool {
        let mut blocks = unique_blocks(&rows);
        let mut lookup = Lookup::build(sites(), &blocks).unwrap();
        for change in changes {
            let next = block(change);
            let known = blocks.iter().position(|b| b.prefix == next.prefix);
            let known = known.map(|at| blocks.remove(at));
            if known.is_some() && change.0.is_multiple_of(2) {
                assert!(lookup.remove(next.prefix));
            } else {
                lookup.insert(&next).unwrap();
                blocks.push(next);
            }
        }
        equals_scan(&lookup, &blocks) && lookup.len() == blocks.len()
    }
    type Rows = Vec<(u8, u8, u8)>;
    common::check(60, property as fn(Rows, Rows) -> bool);
}

#[test]
fn only_the_blocks_of_a_failed_site_move() {
    let blocks: Vec<_> = (0..=u8::MAX).map(|at| block((at, 8, at))).collect();
    let mut lookup = Lookup::build(sites(), &blocks).unwrap();
    let site_of = |lookup: &Lookup, addr| {
        let found = lookup.find(addr).unwrap();
        (found.site.name.clone(), found.cause)
    };
    let before: Vec<_> = addresses().map(|addr| site_of(&lookup, addr)).collect();
    lookup.set_weights("site-1", 0.0, 0.0).unwrap();
    for (addr, (site, cause)) in addresses().zip(&before) {
        let now = site_of(&lookup, addr);
        if *cause == Cause::Assigned && &**site == "site-1" {
            assert_eq!(now.1, Cause::Moved);
        } else if *cause == Cause::Assigned {
            assert_eq!(&now.0, site);
        }
    }
    lookup.set_weights("site-1", 1.0, 1.0).unwrap();
    let after: Vec<_> = addresses().map(|addr| site_of(&lookup, addr)).collect();
    assert_eq!(after, before);
}

#[test]
fn a_lost_region_is_spread_over_the_others() {
    let blocks: Vec<_> = (0..=u8::MAX).map(|at| block((at, 8, at))).collect();
    let mut lookup = Lookup::build(sites(), &blocks).unwrap();
    for at in (0..SITES).filter(|at| at.is_multiple_of(REGIONS)) {
        lookup.set_weights(&format!("site-{at}"), 0.0, 0.0).unwrap();
    }
    let found = addresses().map(|addr| lookup.find(addr).unwrap());
    let far: Vec<_> = found.filter(|p| p.cause == Cause::MovedFar).collect();
    assert!(far.iter().all(|p| p.site.region.as_str() != "r0"));
    let first = far
        .iter()
        .filter(|p| p.site.region.as_str() == "r1")
        .count();
    assert!((0.3..=0.7).contains(&(first as f64 / far.len() as f64)));
}

#[test]
fn invalid_input_is_rejected() {
    for text in [
        "10.0.0.0",
        "10.0.0.0/33",
        "10.0.0.1/8",
        "2001:db8::/65",
        "x/8",
        "::1/64",
    ] {
        assert!(Prefix::try_from(text).is_err(), "{text}");
    }
    let twice = [block((1, 8, 1)), block((1, 8, 2))];
    assert!(Lookup::build(sites(), &twice).is_err());
    let mut unknown = block((1, 8, 1));
    unknown.site = "nowhere".into();
    assert!(Lookup::build(sites(), &[unknown]).is_err());
    assert!(Lookup::build(Vec::new(), &[]).is_err());
}
