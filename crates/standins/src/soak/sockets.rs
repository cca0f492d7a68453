//! Reads the kernel's list of TCP sockets, which tells connections that were never accepted from
//! those that were accepted and wait for a response.

use std::net::IpAddr;

/// The kernel's list of TCP sockets.
const SOCKET_LIST: &str = "/proc/net/tcp";

/// Rows of the list with this IPv4 address, as the kernel prints them, for both ends of a
/// connection.
pub fn kernel_sockets(of: IpAddr) -> Vec<String> {
    let IpAddr::V4(address) = of else { return Vec::new() };
    let hex = format!("{:08X}:", u32::from_ne_bytes(address.octets()));
    let list = std::fs::read_to_string(SOCKET_LIST).unwrap_or_else(|error| error.to_string());
    list.lines().filter(|line| line.contains(&hex)).map(|line| line.trim().to_owned()).collect()
}
