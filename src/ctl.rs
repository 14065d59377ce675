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
        /// Configures a fleet of tallypaddle routers with signed bundles.
        ///
        /// The usual steps: check, diff, sign (author), sign (reviewer), roll, status. Exit codes: 0 success,
        /// 1 failure that a retry may resolve, 2 invalid input, 3 conflict with another bundle, 4 outcome
        /// unknown.
        cmd tallypaddlectl {
            /// Manages the keys that sign bundles.
            cmd key {
                /// Creates a signing key: writes the secret key to a file and prints the public key.
                cmd new {
                    /// The file for the secret key; it must not exist.
                    required out: PathBuf
                }
            }
            /// Explains what happened to a request, from the logs of gateways.
            cmd explain {
                /// The request's identifier.
                required id: String
                /// Log files (default: standard input).
                repeated logs: PathBuf
            }
            /// Manages requests that gateways deny because upstreams crashed while running them.
            cmd quarantine {
                /// Lists the denied requests.
                cmd list {
                    /// A gateway's settings file: it names the store.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Allows denied requests again; it takes effect on all gateways within seconds.
                cmd lift {
                    /// A fingerprint as listed, or `all`.
                    required which: String
                    /// A gateway's settings file: it names the store.
                    required -s, --settings settings: PathBuf
                }
            }
            /// Manages bundles.
            cmd bundle {
                /// Checks a bundle and reports all errors with their lines and key paths.
                cmd check {
                    /// The bundle in YAML.
                    required file: PathBuf
                }
                /// Shows the changes from the accepted bundle, budgets first.
                cmd diff {
                    /// The bundle in YAML.
                    required file: PathBuf
                    /// A router's settings file: it names the platform and the trusted keys.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Signs a bundle, or adds a signature to a signed package.
                cmd sign {
                    /// The bundle in YAML, or a signed package.
                    required file: PathBuf
                    /// The file with the secret key.
                    required -k, --key key: PathBuf
                    /// The file for the signed package.
                    required -o, --out out: PathBuf
                    /// A router's settings file: it names the platform with the accepted bundle.
                    required -s, --settings settings: PathBuf
                    /// The purpose of the change, for the log.
                    optional -n, --note note: String
                }
                /// Rolls out a signed package.
                cmd roll {
                    /// The signed package.
                    required file: PathBuf
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Signs the content of an earlier sequence as the next one, ready to be signed and rolled.
                cmd rollback {
                    /// The sequence whose content is restored.
                    required sequence: u64
                    /// The file with the secret key.
                    required -k, --key key: PathBuf
                    /// The file for the signed package.
                    required -o, --out out: PathBuf
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                }
                /// Shows which sequence is in force on each VM, and for how long.
                cmd status {
                    /// A router's settings file.
                    required -s, --settings settings: PathBuf
                    /// Prints JSON.
                    optional --json
                }
                /// Shows the log of accepted bundles and their signers.
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
