//! The router that every entry VM runs.

use std::process::ExitCode;
use tallypaddle::cmd::{Check, Gateway, Serve, finish};

mod flags {
    //! The command line.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Routes requests of teams with prepaid token budgets to language model upstreams.
        ///
        /// A router keeps nothing on its VM. It learns its addresses from its settings, everything else from the
        /// bundle in force, the platform and its peers. Logs go to standard error; RUST_LOG sets their level
        /// (info unless set). SIGTERM stops it without cutting off a request in progress.
        cmd tallypaddle {
            /// Runs the router.
            cmd serve {
                /// The settings file in YAML.
                required settings: PathBuf
            }
            /// Runs the gateway on the users' platform; logs go to standard output.
            cmd gateway {
                /// The settings file in YAML; if absent, the platform's environment variable names it.
                optional settings: PathBuf
            }
            /// Checks a settings file and names every mistake with its line, without starting anything.
            cmd check {
                /// The settings file in YAML.
                required settings: PathBuf
                /// They are a gateway's settings.
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
