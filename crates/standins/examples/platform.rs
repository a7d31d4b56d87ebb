//! Runs the platform stand-in.

use std::net::SocketAddr;

fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The address to listen on; 127.0.0.1:0 by default.
        optional --listen listen: SocketAddr
    };
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = flags.listen.unwrap_or(local);
    async_std::task::block_on(corianderway_standins::platform::run(listen))
}
