//! The command lines of the programs.

use crate::support::{program, run, start_fleet};
use harness::Plan;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn ctl() -> Command {
    Command::new(env!("CARGO_BIN_EXE_tallypaddlectl"))
}

/// The output and exit code of a command as one text, without the name of the folder.
fn output_text(output: &Output, folder: &Path) -> String {
    let text = format!(
        "{}{}exit {}\n",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code().unwrap_or(-1)
    );
    text.replace(&format!("{}/", folder.display()), "")
}

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("tallypaddle-cli-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn all_errors_in_settings_are_reported_together() {
    let folder = Folder::new();
    let path = folder.write(
        "router.yaml",
        "name: vm 1\ndata-centre: regina-a\nlisten: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, operators: 127.0.0.1:3}\n\
         platform: {address: 127.0.0.1:4, timeout-sm: 5}\nfleet-keys: [short]\ntrust:\n  keys: [abc]\n  needed: 2\n\
         limits:\n  sync-ms: 0\nlogs: loud\n",
    );
    let output = Command::new(program()).arg("check").arg(&path).output().expect("the program runs");
    insta::assert_snapshot!(output_text(&output, &folder.0));
}

#[test]
fn all_errors_in_a_bundle_are_reported_together() {
    let folder = Folder::new();
    let path = folder.write(
        "bundle.yaml",
        "teams:\n  storm-desk:\n    keys:\n      - {hash: abc, budget: mian}\n    budgets:\n      main:\n        credits:\n\
        \x20         - {id: a, tokens: 5}\n          - {id: a, tokens: 6}\n    wieght: 3\n\
         upstreams:\n  engine-1: {address: nowhere, data-centre: a, slots: 8, models: [narrator]}\n\
        \x20 engine-2: {address: 127.0.0.1:1, data-centre: a, slots: 0, models: [oracle]}\n\
         models:\n  narrator: {context: 100, default-max-tokens: 200}\nlimits: {retry-share: 3}\nextra: 1\n",
    );
    let output = ctl().args(["bundle", "check"]).arg(&path).output().expect("the program runs");
    insta::assert_snapshot!(output_text(&output, &folder.0));
}

#[test]
fn a_missing_file_is_reported_by_name() {
    let output =
        Command::new(program()).args(["check", "/nowhere/router.yaml"]).output().expect("the program runs");
    insta::assert_snapshot!(output_text(&output, Path::new("/none")));
}

#[test]
fn a_bundle_is_checked_signed_twice_rolled_and_rolled_back() {
    run(async {
        let folder = Folder::new();
        let mut plan = Plan::small();
        plan.needed_signatures = 2;
        let fleet = start_fleet(plan).await;
        let mut bundle = fleet.bundle.clone();
        bundle.limits.queue = 77;
        let credit = budget::ledger::Credit { id: "prepaid-2".to_owned(), tokens: 500 };
        let team = std::sync::Arc::make_mut(bundle.teams.get_mut("storm-desk").expect("a team"));
        team.budgets.get_mut("main").expect("a budget").credits.push(credit);
        let file = folder.write("bundle.yaml", &serde_yaml_ng::to_string(&bundle).expect("YAML"));
        let settings = fleet.nodes[0].settings.clone();
        let keys: Vec<PathBuf> = fleet
            .secrets
            .iter()
            .enumerate()
            .map(|(index, secret)| folder.write(&format!("{index}.key"), &secret.to_hex()))
            .collect();
        let path = |name: &str| folder.0.join(name);
        let text = |path: &Path| path.display().to_string();
        let settings = text(&settings);
        let steps: Vec<Vec<String>> = [
            vec!["bundle", "check", &text(&file)],
            vec!["bundle", "diff", &text(&file), "-s", &settings],
            vec![
                "bundle",
                "sign",
                &text(&file),
                "-k",
                &text(&keys[0]),
                "-o",
                &text(&path("one.json")),
                "-s",
                &settings,
                "-n",
                "top-up",
            ],
            vec!["bundle", "roll", &text(&path("one.json")), "-s", &settings],
            vec![
                "bundle",
                "sign",
                &text(&path("one.json")),
                "-k",
                &text(&keys[1]),
                "-o",
                &text(&path("two.json")),
                "-s",
                &settings,
            ],
            vec!["bundle", "roll", &text(&path("two.json")), "-s", &settings],
            vec!["bundle", "roll", &text(&path("two.json")), "-s", &settings],
            vec![
                "bundle",
                "rollback",
                "1",
                "-k",
                &text(&keys[0]),
                "-o",
                &text(&path("back.json")),
                "-s",
                &settings,
            ],
            vec![
                "bundle",
                "sign",
                &text(&path("back.json")),
                "-k",
                &text(&keys[1]),
                "-o",
                &text(&path("back.json")),
                "-s",
                &settings,
            ],
            vec!["bundle", "roll", &text(&path("back.json")), "-s", &settings],
            vec![
                "bundle",
                "rollback",
                "9",
                "-k",
                &text(&keys[0]),
                "-o",
                &text(&path("nine.json")),
                "-s",
                &settings,
            ],
        ]
        .into_iter()
        .map(|step| step.into_iter().map(ToOwned::to_owned).collect())
        .collect();
        let mut all = String::new();
        for step in steps {
            all.push_str(&format!("$ {}\n", step[..2].join(" ")));
            all.push_str(&output_text(&ctl().args(&step).output().expect("the program runs"), &folder.0));
        }
        for index in 0..3 {
            fleet
                .wait_until("the rollback is in force", || async {
                    fleet.status(index).await.unwrap_or_default()["bundle"]["sequence"] == 3
                })
                .await;
        }
        let status = ctl().args(["bundle", "status", "-s", &settings]).output().expect("the program runs");
        let status = String::from_utf8_lossy(&status.stdout).into_owned();
        for line in status.lines() {
            all.push_str(line.split(" for ").next().unwrap_or_default());
            all.push('\n');
        }
        let log =
            ctl().args(["bundle", "log", "-s", &settings, "--json"]).output().expect("the program runs");
        let log: serde_json::Value = serde_json::from_slice(&log.stdout).expect("JSON");
        for accepted in log.as_array().expect("a list") {
            let by = accepted["by"].as_array().map_or(0, Vec::len);
            all.push_str(&format!("{} {} by {by}\n", accepted["sequence"], accepted["note"]));
        }
        insta::assert_snapshot!(all);
    });
}

#[test]
fn a_new_key_is_readable_by_its_owner_only_and_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;
    let folder = Folder::new();
    let path = folder.0.join("author.key");
    let first = ctl().args(["key", "new"]).arg(&path).output().expect("the program runs");
    assert!(first.status.success());
    let secret =
        bundle::SecretKey::from_hex(&std::fs::read_to_string(&path).expect("a file")).expect("a key");
    assert_eq!(String::from_utf8_lossy(&first.stdout).trim(), secret.public());
    let mode = std::fs::metadata(&path).expect("a file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let second = ctl().args(["key", "new"]).arg(&path).output().expect("the program runs");
    assert_eq!(second.status.code(), Some(2), "an existing key is never overwritten");
}

const GATEWAY_LOG: &str = "\
t=10.000 level=info manifest: event=in-force version=4 row-version=9 hosts=1 teams=2
t=11.000 level=info upstream: event=listed upstream=i-1 service=tiles address=10.0.0.1:80 leaving=false row-version=11
t=12.000 level=info upstream: event=listed upstream=i-2 service=tiles address=10.0.0.2:80 leaving=false row-version=12
t=19.500 level=warn store: event=lost watch=manifest list at platform 10.2.0.1:80: no answer within 700 ms
t=20.000 level=info request: id=a-1 event=dispatch upstream=i-1 estimate-ms=0 unread=0 open=1 candidates=2 after=None
t=20.100 level=info request: id=a-2 event=dispatch upstream=i-2 estimate-ms=0 unread=0 open=1 candidates=2 after=None
t=20.300 level=warn request: id=a-1 event=dispatch-failed upstream=i-1 may-have-run=true reason=\"no answer\"
t=20.301 level=warn request: id=a-1 event=end outcome=failed route=r team=desk ms=301 sent=1 ran=1 manifest=4 no answer
t=20.302 level=warn upstream: event=ejected upstream=i-1 request=a-1
t=21.000 level=info gateway: event=stopping open=0
";

#[test]
fn quarantine_commands_report_a_wrong_fingerprint_and_an_unreachable_store() {
    let folder = Folder::new();
    let settings = folder.write(
        "gateway.yaml",
        "name: vm-1\ndata-centre: here\nlisten: {callers: 127.0.0.1:1, readiness: 127.0.0.1:2, peers: 127.0.0.1:3, metrics: \
         127.0.0.1:4}\nstore: 127.0.0.1:9\n",
    );
    let call = |args: &[&str]| {
        let output =
            ctl().arg("quarantine").args(args).arg("-s").arg(&settings).output().expect("the program runs");
        output_text(&output, &folder.0)
    };
    insta::assert_snapshot!(
        [call(&["lift", "no-fingerprint"]), call(&["list"]), call(&["lift", "all"])].join("\n")
    );
}

#[test]
fn a_request_is_explained_from_logs_alone() {
    let folder = Folder::new();
    let log = folder.write("vm-1.log", GATEWAY_LOG);
    let other = folder.write("vm-2.log", &GATEWAY_LOG.replace("a-1", "b-1"));
    let output = ctl().args(["explain", "a-1"]).arg(&log).arg(&other).output().expect("the program runs");
    let unknown = ctl().args(["explain", "nobody"]).arg(&log).output().expect("the program runs");
    insta::assert_snapshot!(format!(
        "{}{}",
        output_text(&output, &folder.0),
        output_text(&unknown, &folder.0)
    ));
}

const GATEWAY_SETTINGS: &str = "\
name: vm-1
data-centre: here
listen:
  callers: 127.0.0.1:1
  readiness: 127.0.0.1:2
  peers: 127.0.0.1:4
  metrics: 127.0.0.1:5
store: 127.0.0.1:3
threads: 1
link-mbps: 10.0
bounds:
  grace-s: 8
  retry-ratio: 0.2
";

#[test]
fn all_errors_in_gateway_settings_are_reported_together() {
    let folder = Folder::new();
    let filled = GATEWAY_SETTINGS;
    let valid = folder.write("right.yaml", filled);
    let invalid = filled.replace("threads: 1", "threads: 0").replace("retry-ratio: 0.2", "retry-ratio: 2");
    let invalid = invalid.replace("link-mbps: 10.0", "link-mbps: -1");
    let invalid = folder.write("wrong.yaml", &invalid.replace("store:", "shop:"));
    let check = |file: &Path| {
        Command::new(program()).args(["check", "--gateway"]).arg(file).output().expect("the program runs")
    };
    insta::assert_snapshot!(format!(
        "{}{}",
        output_text(&check(&valid), &folder.0),
        output_text(&check(&invalid), &folder.0)
    ));
}
