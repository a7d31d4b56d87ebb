//! Runs a backend server stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use corianderway_standins::backend;
use corianderway_standins::backend::Distance;
use corianderway_standins::backend::Settings;

fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The address to listen on; 127.0.0.1:0 by default.
        optional --listen listen: SocketAddr
        /// The one-way delay of the link from a region, as REGION=MILLISECONDS.
        repeated --link link: Distance
        /// Its identity.
        optional --id id: String
        /// The service it runs.
        optional --service service: String
        /// The version it runs.
        optional --version version: String
        /// Its region.
        optional --region region: String
        /// Its failure domain.
        optional --domain domain: String
        /// Requests it runs at once.
        optional --slots slots: u32
        /// Requests that wait for a slot before it sheds load.
        optional --queue queue: u32
        /// The seed of its random choices.
        optional --seed seed: u64
        /// The mean time to run a request, in milliseconds.
        optional --service-ms service_ms: f64
        /// The time until it is warm, in milliseconds.
        optional --cold-ms cold_ms: u64
        /// A file that receives each record of its history.
        optional --history history: PathBuf
        /// A text that counts as a caller's key; repeat it for more.
        repeated --secret secret: String
    };
    let usual = Settings::default();
    let service_time = flags
        .service_ms
        .map(|ms| Duration::from_secs_f64(ms / 1000.0));
    let settings = Settings {
        listen: flags.listen.unwrap_or(usual.listen),
        links: flags.link,
        id: flags.id.unwrap_or(usual.id),
        service: flags.service.unwrap_or(usual.service),
        version: flags.version.unwrap_or(usual.version),
        region: flags.region.unwrap_or(usual.region),
        domain: flags.domain.unwrap_or(usual.domain),
        slots: flags.slots.unwrap_or(usual.slots),
        queue: flags.queue.unwrap_or(usual.queue),
        seed: flags.seed.unwrap_or(usual.seed),
        service_time: service_time.unwrap_or(usual.service_time),
        cold_start: flags
            .cold_ms
            .map_or(usual.cold_start, Duration::from_millis),
        history: flags.history,
    };
    async_std::task::block_on(backend::run(settings, flags.secret))
}
