//! Replies to peers that depend on the configuration set alone, of bounded size.

use corianderway_model::InstanceId;

use crate::gossip::send;
use crate::gossip_event::GossipAction;
use crate::message::Message;
use crate::object::Id;
use crate::object::Object;
use crate::object::Stamp;
use crate::set::ConfigSet;
use crate::set::Digest;

/// The maximum size of an object that is sent without a request, in bytes.
const MAX_INLINE_BYTES: usize = 2 * 1024;

/// The maximum size of what is sent to one peer at a time without a request, in bytes.
const MAX_PUSH_BYTES: usize = 16 * 1024;

/// The maximum size of a message, in bytes; a larger object is sent in its own message.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// The maximum size of the reply to one request, in bytes; a larger object is
/// sent as the only one.
const MAX_REPLY_BYTES: usize = 256 * 1024;

/// The maximum number of groups that are compared at a time.
const MAX_GROUPS: usize = 4;

/// The maximum number of buckets of a group that are compared at a time.
const MAX_BUCKETS: usize = 4;

/// Replies to a message that requests something; ignores other messages.
pub(crate) fn reply(
    set: &ConfigSet,
    from: InstanceId,
    message: &Message,
    out: &mut Vec<GossipAction>,
) {
    match message {
        Message::Want(ids) => send_wanted(set, &from, ids, out),
        Message::Buckets { group, digests } => send_buckets(set, &from, *group, digests, out),
        Message::Page { after } => send(out, from, page(set, after.as_ref())),
        Message::Ask(stamp) => {
            let in_force = set.rank(&stamp.id) >= Some(stamp.rank);
            let stamp = stamp.clone();
            send(out, from, Message::Held { stamp, in_force });
        }
        Message::Objects(_)
        | Message::Offer(_)
        | Message::Root(_)
        | Message::Groups(_)
        | Message::Bucket { .. }
        | Message::Filled { .. }
        | Message::Held { .. } => {}
    }
}

/// Sends small objects and offers large ones.
///
/// Stops at [`MAX_PUSH_BYTES`]; the next comparison of digests finds the rest.
pub(crate) fn send_objects<'o>(
    to: &InstanceId,
    objects: impl IntoIterator<Item = &'o Object>,
    out: &mut Vec<GossipAction>,
) {
    let mut inline = Vec::new();
    let mut offers = Vec::new();
    let mut bytes = 0;
    for object in objects {
        let small = object.encoded_size() <= MAX_INLINE_BYTES;
        let stamp = object.stamp();
        bytes += if small {
            object.encoded_size()
        } else {
            stamp.encoded_size()
        };
        if bytes > MAX_PUSH_BYTES {
            break;
        }
        if small {
            inline.push(object.clone());
        } else {
            offers.push(stamp);
        }
    }
    if !inline.is_empty() {
        send(out, to.clone(), Message::Objects(inline));
    }
    if !offers.is_empty() {
        send(out, to.clone(), Message::Offer(offers));
    }
}

/// Sends the bucket digests of groups that differ, from the group `start` on.
///
/// The caller varies `start`, so that every group is compared in time.
pub(crate) fn send_differing_groups(
    set: &ConfigSet,
    to: InstanceId,
    theirs: &[Digest],
    start: u8,
    out: &mut Vec<GossipAction>,
) {
    let ours = set.groups();
    let order = (0..ours.len()).map(|n| (n + usize::from(start)) % ours.len());
    let differing = order.filter(|at| theirs.get(*at) != ours.get(*at));
    for at in differing.take(MAX_GROUPS) {
        let digests = set.buckets(at).map_or_else(Vec::new, |b| b.to_vec());
        let group = at as u8;
        send(out, to.clone(), Message::Buckets { group, digests });
    }
}

/// The stamps of `ours` that are absent from `theirs` or older there; both are sorted.
pub(crate) fn missing<'s>(ours: &'s [Stamp], theirs: &[Stamp]) -> Vec<&'s Stamp> {
    let newer = |stamp: &&Stamp| {
        let at = theirs.binary_search_by(|s| s.id.cmp(&stamp.id)).ok();
        at.is_none_or(|at| theirs[at].rank < stamp.rank)
    };
    ours.iter().filter(newer).collect()
}

fn send_wanted(set: &ConfigSet, to: &InstanceId, ids: &[Id], out: &mut Vec<GossipAction>) {
    let mut message = Vec::new();
    let mut bytes = 0;
    let mut total = 0;
    for object in ids.iter().filter_map(|id| set.get(id)) {
        let size = object.encoded_size();
        if total > 0 && total + size > MAX_REPLY_BYTES {
            break;
        }
        if bytes > 0 && bytes + size > MAX_MESSAGE_BYTES {
            let full = std::mem::take(&mut message);
            send(out, to.clone(), Message::Objects(full));
            bytes = 0;
        }
        message.push(object.clone());
        bytes += size;
        total += size;
    }
    if !message.is_empty() {
        send(out, to.clone(), Message::Objects(message));
    }
}

fn send_buckets(
    set: &ConfigSet,
    to: &InstanceId,
    group: u8,
    theirs: &[Digest],
    out: &mut Vec<GossipAction>,
) {
    let Some(ours) = set.buckets(usize::from(group)) else {
        return;
    };
    let differing = (0..ours.len()).filter(|at| theirs.get(*at) != ours.get(*at));
    for at in differing.take(MAX_BUCKETS) {
        let bucket = at as u8;
        let stamps = set.bucket(group, bucket);
        let message = Message::Bucket {
            group,
            bucket,
            stamps,
        };
        send(out, to.clone(), message);
    }
}

fn page(set: &ConfigSet, after: Option<&Id>) -> Message {
    let mut rest = set.after(after).peekable();
    let mut objects = Vec::new();
    let mut bytes = 0;
    while let Some(object) = rest.peek() {
        bytes += object.encoded_size();
        if bytes > MAX_MESSAGE_BYTES && !objects.is_empty() {
            break;
        }
        objects.extend(rest.next().cloned());
    }
    let more = rest.peek().is_some();
    Message::Filled { objects, more }
}
