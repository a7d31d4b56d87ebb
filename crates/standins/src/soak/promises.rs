//! Checks what a caller may rely on after it has sent a write.

use std::collections::BTreeMap;

use crate::estate::RequestRecord;
use crate::soak::history::Call;
use crate::soak::history::End;
use crate::soak::history::Kind;

/// The requests of callers, by id.
pub type Calls<'a> = BTreeMap<&'a str, &'a Call>;

/// The runs of requests at all endpoints, by id.
pub type Runs<'a> = BTreeMap<&'a str, Vec<&'a RequestRecord>>;

/// Returns a line for each write that ran more than once.
pub(super) fn repeated_writes(calls: &Calls<'_>, runs: &Runs<'_>) -> Vec<String> {
    let repeated = runs.iter().filter(|(_, records)| records.len() > 1);
    let writes = repeated.filter(|(id, _)| calls.get(*id).is_some_and(|c| c.kind == Kind::Write));
    writes
        .map(|(id, records)| format!("{id} ran {} times", records.len()))
        .collect()
}

/// Returns a line for each write that ran, before or after its caller was answered with a
/// status which says that it has not run and never will. Who made the status doesn't matter.
pub fn false_refusals(calls: &Calls<'_>, runs: &Runs<'_>) -> Vec<String> {
    let refused = calls.values().filter(|call| is_refused_write(call));
    let ran = refused.flat_map(|call| {
        let records = runs.get(call.id.as_str()).into_iter().flatten();
        records.map(|record| false_refusal(call, record))
    });
    ran.collect()
}

/// Reports whether a request is a write with an answer that says that it has not run.
pub(super) fn is_refused_write(call: &Call) -> bool {
    let promises = match call.end {
        End::Answered { status, .. } => matches!(status, 408 | 421 | 429 | 503),
        End::Incomplete | End::Left => false,
    };
    call.kind == Kind::Write && promises
}

fn false_refusal(call: &Call, record: &RequestRecord) -> String {
    let order = if record.began <= call.ended {
        format!("ran {:?} before the answer", call.ended - record.began)
    } else {
        format!("ran {:?} after the answer", record.began - call.ended)
    };
    let Call { id, node, end, .. } = call;
    format!(
        "{id} by node {node} {order} at {}: {end:?}",
        record.endpoint
    )
}
