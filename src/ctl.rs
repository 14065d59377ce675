//! The operators' tool.

use std::process::ExitCode;
use tallypaddle::cmd::ctl::{
    Check, Diff, Explain, LiftDenials, ListDenials, Log, NewKey, Roll, Rollback, Sign, Status,
};
use tallypaddle::cmd::finish;

mod flags {
    //! The command line.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Steers a fleet of tallypaddle routers by signed bundles.
        ///
        /// The usual way: check, diff, sign (author), sign (reviewer), roll, status. Exit codes: 0 done, 1 failed
        /// and may be tried again, 2 a mistake in a file, 3 another bundle was faster, 4 the outcome is not known.
        cmd tallypaddlectl {
            /// Keys that sign bundles.
            cmd key {
                /// Makes a signing key: the secret goes into a file, the public key to standard output.
                cmd new {
                    /// The file for the secret; it must not exist.
                    required out: PathBuf
                }
            }
            /// Tells a request's story from gateways' logs: its lines, and what its gateways believed then.
            cmd explain {
                /// The request's identifier.
                required id: String
                /// Log files; standard input if there are none.
                repeated logs: PathBuf
            }
            /// Requests that gateways deny since upstreams ended under them.
            cmd quarantine {
                /// Lists them.
                cmd list {
                    /// A gateway's settings file: it names the store.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Lets them run again: all gateways follow within seconds.
                cmd lift {
                    /// A fingerprint as listed, or `all`.
                    required which: String
                    /// A gateway's settings file: it names the store.
                    required -s, --settings settings: PathBuf
                }
            }
            /// Bundles.
            cmd bundle {
                /// Names every mistake in a bundle with its line and key path.
                cmd check {
                    /// The bundle in YAML.
                    required file: PathBuf
                }
                /// Shows what a bundle changes and for whom, budgets first.
                cmd diff {
                    /// The bundle in YAML.
                    required file: PathBuf
                    /// A router's settings file: it names the platform and the trusted keys.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Signs a bundle, or adds a signature to a signed one.
                cmd sign {
                    /// The bundle in YAML, or a package that was signed before.
                    required file: PathBuf
                    /// The secret key's file.
                    required -k, --key key: PathBuf
                    /// The file for the signed package.
                    required -o, --out out: PathBuf
                    /// A router's settings file: the bundle follows what is accepted there now.
                    required -s, --settings settings: PathBuf
                    /// Why, for the log.
                    optional -n, --note note: String
                }
                /// Rolls a signed package out.
                cmd roll {
                    /// The signed package.
                    required file: PathBuf
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Signs the content of an earlier sequence as the next one; sign it further, then roll it.
                cmd rollback {
                    /// The sequence whose content is taken up again.
                    required sequence: u64
                    /// The secret key's file.
                    required -k, --key key: PathBuf
                    /// The file for the signed package.
                    required -o, --out out: PathBuf
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                }
                /// Shows which sequence each VM has in force and for how long.
                cmd status {
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Shows who rolled what.
                cmd log {
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
            }
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    net::exec::start(2);
    let args = flags::Tallypaddlectl::from_env_or_exit();
    finish(match args.subcommand {
        flags::TallypaddlectlCmd::Key(key) => match key.subcommand {
            flags::KeyCmd::New(args) => NewKey { out: args.out }.execute(),
        },
        flags::TallypaddlectlCmd::Explain(args) => Explain { id: args.id, logs: args.logs }.execute(),
        flags::TallypaddlectlCmd::Quarantine(quarantine) => match quarantine.subcommand {
            flags::QuarantineCmd::List(args) => {
                ListDenials { settings: args.settings, json: args.json }.execute()
            }
            flags::QuarantineCmd::Lift(args) => {
                LiftDenials { which: args.which, settings: args.settings }.execute()
            }
        },
        flags::TallypaddlectlCmd::Bundle(bundle) => match bundle.subcommand {
            flags::BundleCmd::Check(args) => Check { file: args.file }.execute(),
            flags::BundleCmd::Diff(args) => {
                Diff { file: args.file, settings: args.settings, json: args.json }.execute()
            }
            flags::BundleCmd::Sign(args) => Sign {
                file: args.file,
                key: args.key,
                out: args.out,
                settings: args.settings,
                note: args.note.unwrap_or_default(),
            }
            .execute(),
            flags::BundleCmd::Roll(args) => {
                Roll { file: args.file, settings: args.settings, json: args.json }.execute()
            }
            flags::BundleCmd::Rollback(args) => {
                Rollback { sequence: args.sequence, key: args.key, out: args.out, settings: args.settings }
                    .execute()
            }
            flags::BundleCmd::Status(args) => Status { settings: args.settings, json: args.json }.execute(),
            flags::BundleCmd::Log(args) => Log { settings: args.settings, json: args.json }.execute(),
        },
    })
}
