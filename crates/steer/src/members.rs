//! The other instances: who is listed, and who was heard of late.

use std::net::SocketAddr;
use std::time::Duration;

use corianderway_model::InstanceId;
use corianderway_model::Presence;
use corianderway_model::Sorted;
use corianderway_model::Time;

use crate::digest::Digest;
use crate::listing::Member;

/// An instance that was not heard for this long is taken for gone: three
/// digests in a row would have to be lost.
const SILENCE: Duration = Duration::from_millis(3_500);

/// The same for an instance of another region in a large fleet.
const FAR_SILENCE: Duration = Duration::from_millis(6_500);

/// Instances up to which each digest goes to all: the digests of a fleet grow
/// with the square of its size.
const WHOLE: usize = 24;

/// In a larger fleet, the digests of which one goes to an instance of another region.
const FAR_TURNS: u64 = 3;

/// The entry of an instance that was not heard for this long is removed.
const FORGET: Duration = Duration::from_secs(20);

/// The instances of the fleet, this one included.
#[derive(Debug)]
pub(crate) struct Members {
    me: Member,
    rows: Sorted<InstanceId, Row>,
}

#[derive(Debug)]
struct Row {
    member: Member,
    listed: Time,
    heard: Option<(Time, Digest)>,
}

impl Members {
    pub(crate) fn new(me: Member) -> Self {
        let rows = Sorted::default();
        Self { me, rows }
    }

    /// Takes the list of instances; what was heard of those that stay is kept.
    pub(crate) fn list(&mut self, now: Time, members: Vec<Member>) {
        let mut rows = Sorted::default();
        for member in members {
            let id = member.entry.id.clone();
            if id == self.me.entry.id {
                continue;
            }
            let old = self.rows.remove(&id);
            let same = old.filter(|row| row.member.run == member.run);
            let (listed, heard) = same.map_or((now, None), |row| (row.listed, row.heard));
            let row = Row {
                member,
                listed,
                heard,
            };
            rows.insert(id, row);
        }
        self.rows = rows;
    }

    /// Takes a digest; false if it is old or of an instance that is not listed.
    pub(crate) fn hear(&mut self, now: Time, digest: Digest) -> bool {
        let Some(row) = self.rows.get_mut(&digest.from) else {
            return false;
        };
        let known = row.heard.as_ref();
        let old = known.is_some_and(|(_, d)| d.run == digest.run && d.number >= digest.number);
        if !old {
            row.heard = Some((now, digest));
        }
        !old
    }

    /// The number of listed instances, this one included.
    pub(crate) fn count(&self) -> usize {
        self.rows.len() + 1
    }

    /// The latest digests of the instances that were heard lately.
    pub(crate) fn heard(&self, now: Time) -> impl Iterator<Item = (&Member, &Digest)> {
        self.rows.iter().filter_map(move |(_, row)| {
            let (at, digest) = row.heard.as_ref()?;
            let silence = if self.is_far(&row.member) {
                FAR_SILENCE
            } else {
                SILENCE
            };
            (now.since(*at) < silence).then_some((&row.member, digest))
        })
    }

    /// Whether an instance was heard lately.
    pub(crate) fn is_heard(&self, now: Time, id: &InstanceId) -> bool {
        self.heard(now).any(|(member, _)| member.entry.id == *id)
    }

    /// The instances to name to callers, without this one.
    pub(crate) fn serving(&self, now: Time) -> impl Iterator<Item = &Member> {
        let live = |d: &Digest| d.ready && d.presence == Presence::Live;
        self.heard(now)
            .filter(move |(_, digest)| live(digest))
            .map(|(member, _)| member)
    }

    /// Whether this instance is the first of those that reach the store.
    pub(crate) fn leads(&self, now: Time, stored: bool) -> bool {
        let me = &self.me.entry.id;
        stored && !self.heard(now).any(|(m, d)| d.stored && m.entry.id < *me)
    }

    /// Where the instances listen that a digest goes to: all, or in a large
    /// fleet those of this region and a part of the others.
    pub(crate) fn audience(&self, number: u64, urgent: bool) -> Vec<SocketAddr> {
        let rows = self.rows.iter().enumerate();
        let wanted = rows.filter(|(at, (_, row))| {
            let turn = (*at as u64 + number).is_multiple_of(FAR_TURNS);
            urgent || turn || !self.is_far(&row.member)
        });
        wanted.map(|(_, (_, row))| row.member.entry.peers).collect()
    }

    // Whether an instance is told and heard less often.
    fn is_far(&self, member: &Member) -> bool {
        self.rows.len() > WHOLE && member.entry.region != self.me.entry.region
    }

    /// The instances whose entries outlived them.
    pub(crate) fn lost(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.rows.iter().filter_map(move |(_, row)| {
            let since = row.heard.as_ref().map_or(row.listed, |(at, _)| *at);
            (now.since(since) > FORGET).then_some(&row.member)
        })
    }

    /// This instance.
    pub(crate) fn me(&self) -> &Member {
        &self.me
    }
}
