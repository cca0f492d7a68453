//! What the kernel lists of connections: it tells one that nobody accepted from one that is held.

use std::net::IpAddr;

/// Rows of the kernel's list of TCP sockets, as it prints them.
const SOCKET_LIST: &str = "/proc/net/tcp";

/// Rows of the kernel's list, both ends of each connection, in which an address stands.
pub fn kernel_sockets(of: IpAddr) -> Vec<String> {
    let IpAddr::V4(address) = of else { return Vec::new() };
    let hex = format!("{:08X}:", u32::from_ne_bytes(address.octets()));
    let list = std::fs::read_to_string(SOCKET_LIST).unwrap_or_else(|error| error.to_string());
    list.lines().filter(|line| line.contains(&hex)).map(|line| line.trim().to_owned()).collect()
}
