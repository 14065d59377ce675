//! The commands of `tallypaddle`, which runs the router or the gateway on each entry VM, and of
//! `tallypaddlectl`, the operators' tool. The binaries only parse the command line and call [`cmd`].

pub mod cmd;
