//! Runs the platform stand-in.

use std::net::SocketAddr;

use corianderway_standins::serve::ListenAddress;

fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// The address to listen on; 127.0.0.1:0 by default.
        optional --listen listen: SocketAddr
        /// Another address, whose callers have a one-way delay, as NAME=MILLISECONDS.
        repeated --door door: ListenAddress
    };
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = flags.listen.unwrap_or(local);
    let mut doors = vec![ListenAddress::main(listen)];
    doors.extend(flags.door);
    async_std::task::block_on(corianderway_standins::platform::run(doors))
}
