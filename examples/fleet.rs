//! Starts a small fleet on loopback addresses, sends a few requests through it, and prints their charges and
//! the routers' decisions. With `--hold`, the fleet stays up until Ctrl-C, to be tried by hand.
//!
//! The routers are separate processes: this program starts itself with `serve`.

use harness::{ChatRequest, Fleet, Plan, audit};
use std::path::PathBuf;
use std::time::Duration;
use tallypaddle::cmd::{Serve, finish};

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["serve", settings] => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,tarpc=warn"))
                .init();
            finish(Serve { settings: PathBuf::from(settings) }.execute())
        }
        [] => run(false),
        ["--hold"] => run(true),
        _ => {
            eprintln!("usage: fleet [--hold]");
            std::process::ExitCode::from(2)
        }
    }
}

fn run(hold: bool) -> std::process::ExitCode {
    net::exec::start(4);
    let program = std::env::current_exe().expect("this program's own path");
    net::exec::block_on(async {
        let mut fleet = Fleet::start(&program, Plan::small()).await;
        println!("3 routers, 3 engines, 1 plain service and the platform are up; bundle 1 is in force\n");
        let served = send_requests(&fleet).await;
        if hold {
            hold_until_stopped(&fleet).await;
        }
        print_audit_and_decisions(&mut fleet).await;
        if served { std::process::ExitCode::SUCCESS } else { std::process::ExitCode::FAILURE }
    })
}

async fn send_requests(fleet: &Fleet) -> bool {
    let requests = [
        (
            0,
            0,
            ChatRequest::new("narrator", "Describe the storm over Regina from this sweep.", 24).streamed(),
        ),
        (0, 1, ChatRequest::new("narrator", "Summarise the cell west of Saskatoon.", 12)),
        (
            1,
            2,
            ChatRequest::new("hail-flag", "Is hail likely on quarter section NE-12?", 4)
                .with_key("flag-ne-12"),
        ),
        (
            1,
            0,
            ChatRequest::new("hail-flag", "Is hail likely on quarter section NE-12?", 4)
                .with_key("flag-ne-12"),
        ),
        (1, 1, ChatRequest::new("narrator", "Brief the adjusters.", 16)),
    ];
    let mut all_complete = true;
    println!("{:<14} {:<6} {:<10} {:>6}  {:<5}  text", "team", "router", "model", "status", "whole");
    for (team, router, request) in requests {
        let answer = fleet.caller_of(team, router).send_chat(&request).await;
        let is_complete = answer.is_complete_for(&request);
        all_complete &= is_complete;
        println!(
            "{:<14} {:<6} {:<10} {:>6}  {is_complete:<5}  {}",
            fleet.plan.teams[team].name,
            fleet.nodes[router].name,
            request.model,
            answer.status,
            answer.text.chars().take(40).collect::<String>()
        );
    }
    let caller = fleet.caller_of(1, 1);
    let tile = caller.send(caller.request("GET", "/services/tiles/layer/radar/7/21/42", "")).await;
    println!("{:<14} {:<6} {:<10} {:>6}", fleet.plan.teams[1].name, "vm-2", "tiles", tile.status);
    println!(
        "\nThe two hail-flag requests share an idempotency key: one of them ran, and both got its answer."
    );
    all_complete && tile.status == 200
}

async fn hold_until_stopped(fleet: &Fleet) {
    let address = fleet.nodes[0].callers;
    let key = fleet.plan.teams[0].key();
    println!("\nThe fleet stays up until Ctrl-C. Try:\n");
    println!(
        "curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n  \
         -d '{{\"model\": \"narrator\", \"max_tokens\": 16, \"stream\": true, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Hail tonight?\"}}]}}'"
    );
    println!("curl -s http://{}/v1/status", fleet.nodes[0].operators);
    let _ = net::signal::terminated().await;
}

async fn print_audit_and_decisions(fleet: &mut Fleet) {
    for node in &fleet.nodes {
        node.process.terminate();
    }
    for index in 0..fleet.nodes.len() {
        while fleet.nodes[index].process.exit_status().is_none() {
            net::exec::sleep(Duration::from_millis(20)).await;
        }
    }
    println!("\nBudgets after a planned stop of all routers:");
    println!("{:<22} {:>10} {:>8} {:>8} {:>10}", "budget", "prepaid", "spent", "held", "free");
    for (budget, audit) in audit(fleet) {
        println!(
            "{budget:<22} {:>10} {:>8} {:>8} {:>10}",
            audit.credited, audit.spent, audit.outstanding, audit.free
        );
    }
    println!("\nThe routers' decisions:");
    for node in &fleet.nodes {
        for line in node.process.log().lines() {
            let text = line.split_once("] ").map_or(line, |(_, text)| text);
            if text.starts_with("route: ") || text.starts_with("budget: ") {
                println!("{}  {text}", node.name);
            }
        }
    }
}
