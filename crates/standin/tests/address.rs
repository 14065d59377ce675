//! The addresses of stand-ins: none is given out twice, in one process or in two.

use std::collections::HashSet;
use std::net::{IpAddr, TcpListener};
use std::process::Command;

/// The prefix of the line in which a process prints the IP address of its stand-ins.
const MARKER: &str = "stand-ins at ";

/// A stand-in could get the calls that were meant for one that is gone.
#[test]
fn no_address_is_given_out_twice_although_none_is_in_use() {
    let addresses: Vec<_> = (0..500)
        .map(|_| {
            TcpListener::bind(standin::loopback()).expect("a free address").local_addr().expect("an address")
        })
        .collect();
    assert_eq!(addresses.iter().collect::<HashSet<_>>().len(), addresses.len());
}

/// A gateway of one test process could call a stand-in of another.
#[test]
fn stand_ins_of_other_processes_have_other_ip_addresses() {
    let mut seen = HashSet::from([standin::loopback().ip()]);
    for _ in 0..3 {
        let mut child = Command::new(std::env::current_exe().expect("this program"));
        let child = child.args(["--exact", "prints_the_ip_address_of_its_stand_ins", "--nocapture"]);
        let output = String::from_utf8(child.output().expect("the process runs").stdout).expect("text");
        let ip =
            output.split(MARKER).nth(1).and_then(|rest| rest.split_whitespace().next()).expect("the line");
        assert!(seen.insert(ip.parse::<IpAddr>().expect("an address")), "{ip} was used before");
    }
}

#[test]
fn prints_the_ip_address_of_its_stand_ins() {
    let ip = standin::loopback().ip();
    assert!(ip.is_loopback());
    println!("{MARKER}{ip} ");
}
