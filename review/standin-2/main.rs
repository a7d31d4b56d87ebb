//! Stand-ins of the platform, its endpoints and its clients, and the runs of the cases.
//!
//! `standin RECORD CASE` plays one case against `target/release/corianderwayd`, in the
//! repository's root. The variable `TROUBLE=0` leaves the disruption out. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run.

mod clients;
mod endpoint;
mod evacuate;
mod http;
mod instance;
mod json;
mod poison;
mod record;
mod spoilt;
mod stop;
mod store;
mod tombstone;

use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use crate::record::Record;

/// The longest time of a run.
const LIMIT: Duration = Duration::from_secs(118);

/// What a case says of its run.
pub enum Verdict {
    Held,
    Broken,
    /// The run shows nothing, for this reason.
    Nothing(String),
}

/// What each case gets.
pub struct Case {
    pub record: Record,
    /// A folder for settings and logs.
    pub dir: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, record, name] = &args[..] else {
        eprintln!("standin RECORD CASE");
        exit(2);
    };
    let dir = std::env::temp_dir().join(format!("standin-2-{}", std::process::id()));
    if std::fs::create_dir_all(&dir).is_err() {
        exit(2);
    }
    let case = Case {
        record: Record::create(Path::new(record)),
        dir: dir.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = case.record.clone();
    // The instances end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("NOTHING SHOWN: the run takes too long");
        exit(2);
    });
    let verdict = match name.as_str() {
        "stop" => stop::play(&case),
        "spoilt" => spoilt::play(&case),
        "poison" => poison::play(&case),
        "tombstone" => tombstone::play(&case),
        "evacuate" => evacuate::play(&case),
        _ => Verdict::Nothing(format!("no case {name}")),
    };
    if std::env::var_os("KEEP").is_none() {
        // A folder that stays does no harm.
        drop(std::fs::remove_dir_all(dir));
    } else {
        println!("{}", dir.display());
    }
    let (text, code) = match verdict {
        Verdict::Held => ("HELD".to_owned(), 0),
        Verdict::Broken => ("BROKEN".to_owned(), 1),
        Verdict::Nothing(why) => (format!("NOTHING SHOWN: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
