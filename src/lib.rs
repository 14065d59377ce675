//! The commands of `tallypaddle`, the router that every entry VM runs, and of `tallypaddlectl`, the
//! operators' tool. The programs themselves only parse the command line and call [`cmd`].

pub mod cmd;
