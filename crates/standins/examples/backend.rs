//! Runs a backend server stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use corianderway_standins::backend;
use corianderway_standins::backend::LinkDelay;
use corianderway_standins::backend::Settings;

fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The address to listen on; 127.0.0.1:0 by default.
        optional --listen listen: SocketAddr
        /// The one-way delay of the link from a region, as REGION=MILLISECONDS.
        repeated --link link: LinkDelay
        /// Its id.
        optional --id id: String
        /// The service it runs.
        optional --service service: String
        /// The version it runs.
        optional --version version: String
        /// Its region.
        optional --region region: String
        /// Its failure domain.
        optional --domain domain: String
        /// The maximum number of running requests.
        optional --slots slots: u32
        /// The maximum number of queued requests; more are shed.
        optional --queue queue: u32
        /// The seed of its random number generator.
        optional --seed seed: u64
        /// The mean service time, in milliseconds.
        optional --service-ms service_ms: f64
        /// The time until it is warm, in milliseconds.
        optional --cold-ms cold_ms: u64
        /// A file to which each record of its history is appended.
        optional --history history: PathBuf
        /// A text that is recorded as a caller's key; can be repeated.
        repeated --secret secret: String
    };
    let defaults = Settings::default();
    let service_time = flags
        .service_ms
        .map(|ms| Duration::from_secs_f64(ms / 1000.0));
    let settings = Settings {
        listen: flags.listen.unwrap_or(defaults.listen),
        links: flags.link,
        id: flags.id.unwrap_or(defaults.id),
        service: flags.service.unwrap_or(defaults.service),
        version: flags.version.unwrap_or(defaults.version),
        region: flags.region.unwrap_or(defaults.region),
        domain: flags.domain.unwrap_or(defaults.domain),
        slots: flags.slots.unwrap_or(defaults.slots),
        queue: flags.queue.unwrap_or(defaults.queue),
        seed: flags.seed.unwrap_or(defaults.seed),
        service_time: service_time.unwrap_or(defaults.service_time),
        cold_start: flags
            .cold_ms
            .map_or(defaults.cold_start, Duration::from_millis),
        history: flags.history,
    };
    async_std::task::block_on(backend::run(settings, flags.secret))
}
