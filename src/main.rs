//! The program that runs the router or the gateway on each entry VM.

use std::process::ExitCode;
use tallypaddle::cmd::{Check, Gateway, Serve, finish};

mod flags {
    //! The command line.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes requests of teams with prepaid token budgets to language model upstreams.
        ///
        /// A router stores nothing on its VM. It reads its addresses from its settings, and everything else
        /// from the bundle in force, the platform and its peers. Logs go to standard error; RUST_LOG sets
        /// their level (default: info). SIGTERM stops it without interrupting requests in progress.
        cmd tallypaddle {
            /// Runs the router.
            cmd serve {
                /// The settings file in YAML.
                required settings: PathBuf
            }
            /// Runs the gateway on the users' platform; logs go to standard output.
            cmd gateway {
                /// The settings file in YAML (default: the path in the platform's environment variable).
                optional settings: PathBuf
            }
            /// Checks a settings file and reports all errors with their lines, without starting anything.
            cmd check {
                /// The settings file in YAML.
                required settings: PathBuf
                /// Checks the settings of a gateway instead of a router.
                optional --gateway
            }
        }
    }
}

fn main() -> ExitCode {
    let args = flags::Tallypaddle::from_env_or_exit();
    if !matches!(args.subcommand, flags::TallypaddleCmd::Gateway(_)) {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,tarpc=warn")).init();
    }
    finish(match args.subcommand {
        flags::TallypaddleCmd::Gateway(args) => Gateway { settings: args.settings }.execute(),
        flags::TallypaddleCmd::Serve(args) => Serve { settings: args.settings }.execute(),
        flags::TallypaddleCmd::Check(args) => {
            Check { settings: args.settings, gateway: args.gateway }.execute()
        }
    })
}
