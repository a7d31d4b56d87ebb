//! Stand-ins and scenarios of the review: a store, endpoints and clients, in one
//! program that starts the entry instances as processes of their own.
//!
//! `trial CASE FOLDER` runs one scenario and writes FOLDER/record.txt. It exits with 1
//! if the rule was broken, 0 if it held, and 2 if the scenario could not run.

mod cases;
mod client;
mod endpoint;
mod fleet;
mod json;
mod record;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: trial CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = record::Record::create(folder);
    record.line(&format!("case {case}, trouble {trouble}"));
    let outcome = cases::run(case, trouble, &record);
    let code = match &outcome {
        Ok(cases::Verdict::Held) => 0,
        Ok(cases::Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match outcome {
        Ok(verdict) => record.line(&format!("verdict {verdict:?}")),
        Err(error) => record.line(&format!("could not run: {error}")),
    }
    exit(code);
}
