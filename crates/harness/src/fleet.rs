//! Starting and breaking a fleet.

use crate::caller::Caller;
use crate::plan::Plan;
use crate::process::Process;
use bundle::{Bundle, SecretKey};
use net::Client;
use roll::{Accepted, Package};
use router::{Listen, Settings, Trust};
use standin::{Engine, Platform, Proxy, Rule, Service};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use store::{Role, Vm};

/// The ports of each router, on an address of its own.
const CALLERS: u16 = 7001;
const PEERS: u16 = 7002;
const OPERATORS: u16 = 7003;
/// The secret of the fleet.
const FLEET_KEY: &str = "loopback-fleet-key-0001";
/// How long anything may take to happen before a test gives up on it.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often a test looks whether it has happened.
const LOOK: Duration = Duration::from_millis(10);

/// Numbers the routers of this process.
static NEXT: AtomicU16 = AtomicU16::new(1);

/// One router of a fleet.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it serves operators.
    pub operators: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its connections to the platform.
    pub to_platform: Proxy,
    /// Its peers' connections to it.
    pub from_peers: Proxy,
    /// The requests that peers pass on to it.
    pub from_forwards: Proxy,
    /// Its process.
    pub process: Process,
    vm: Vm,
    listed: bool,
    log: PathBuf,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The proxies in front of the engines, if the plan asks for them.
    pub engine_proxies: Vec<Proxy>,
    /// The plain service.
    pub service: Service,
    /// The routers.
    pub nodes: Vec<Node>,
    /// The keys that sign bundles.
    pub secrets: Vec<SecretKey>,
    /// The plan.
    pub plan: Plan,
    /// The bundle as it was rolled last.
    pub bundle: Bundle,
    program: PathBuf,
    folder: PathBuf,
    client: Client,
}

/// An address that no other router on this machine uses.
fn own_address() -> IpAddr {
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = pid.to_be_bytes();
    let middle = 10 + (u16::from(high) ^ (number >> 8)) % 240;
    IpAddr::V4(Ipv4Addr::new(127, middle as u8, low, (number & 0xff) as u8))
}

impl Fleet {
    /// Starts a fleet of `program`'s routers, rolls the plan's bundle and waits until all are ready.
    ///
    /// # Panics
    /// Panics if something can't be started: a test can't go on then.
    pub async fn start(program: &Path, plan: Plan) -> Fleet {
        let mut fleet = Fleet::bare(program, plan).await;
        fleet.roll(&fleet.bundle.clone()).await.expect("the first bundle is accepted");
        for index in 0..fleet.plan.routers {
            fleet.add_node(&format!("vm-{}", index + 1), "dc-0").await;
        }
        fleet.ready().await;
        fleet
    }

    /// Starts everything but the routers; no bundle is accepted yet.
    ///
    /// # Panics
    /// Panics if something can't be started.
    pub async fn bare(program: &Path, plan: Plan) -> Fleet {
        let platform = Platform::start().await.expect("a platform starts");
        let service = Service::start().await.expect("a service starts");
        let mut engines = vec![];
        let mut engine_proxies = vec![];
        for shape in &plan.engines {
            let engine = Engine::start(shape.clone()).await.expect("an engine starts");
            if plan.engine_proxies {
                engine_proxies.push(Proxy::start(engine.address()).await.expect("a proxy starts"));
            }
            engines.push(engine);
        }
        let addresses: Vec<SocketAddr> = match plan.engine_proxies {
            true => engine_proxies.iter().map(Proxy::address).collect(),
            false => engines.iter().map(Engine::address).collect(),
        };
        let bundle = plan.bundle(&addresses, service.address());
        let folder = std::env::temp_dir().join(format!("tallypaddle-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).expect("a folder for settings and logs");
        Fleet {
            platform,
            engines,
            engine_proxies,
            service,
            nodes: vec![],
            secrets: vec![SecretKey::generate(), SecretKey::generate()],
            bundle,
            plan,
            program: program.to_owned(),
            folder,
            client: Client::new(),
        }
    }

    /// Starts one more router and lists it.
    ///
    /// # Panics
    /// Panics if it can't be started.
    pub async fn add_node(&mut self, name: &str, data_centre: &str) {
        let own = own_address();
        let peers = SocketAddr::new(own, PEERS);
        let callers = SocketAddr::new(own, CALLERS);
        let operators = SocketAddr::new(own, OPERATORS);
        let to_platform = Proxy::start(self.platform.address()).await.expect("a proxy starts");
        let from_peers = Proxy::start(peers).await.expect("a proxy starts");
        let from_forwards = Proxy::start(callers).await.expect("a proxy starts");
        let settings = Settings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            listen: Listen {
                callers,
                peers,
                operators,
                advertise_peers: Some(from_peers.address()),
                advertise_callers: Some(from_forwards.address()),
            },
            platform: router::Platform { address: to_platform.address(), timeout_ms: 300 },
            seeds: self.nodes.iter().map(|node| node.from_peers.address()).collect(),
            fleet_keys: vec![FLEET_KEY.to_owned()],
            trust: Trust {
                keys: self.secrets.iter().map(SecretKey::public).collect(),
                needed: self.plan.needed,
            },
            limits: self.plan.node.clone(),
        };
        let path = self.folder.join(format!("{name}.yaml"));
        let log = self.folder.join(format!("{name}.log"));
        let text = serde_yaml_ng::to_string(&settings).expect("settings serialize");
        std::fs::write(&path, text).expect("the settings can be written");
        let process = Process::start(&self.program, "serve", &path, &log).expect("a router starts");
        let vm = Vm {
            name: name.to_owned(),
            role: Role::Router,
            data_centre: data_centre.to_owned(),
            address: from_peers.address(),
            leaving: false,
        };
        self.nodes.push(Node {
            name: name.to_owned(),
            callers,
            operators,
            settings: path,
            to_platform,
            from_peers,
            from_forwards,
            process,
            vm,
            listed: true,
            log,
        });
        self.list(&[]);
    }

    /// Starts a router's process again, with the same settings.
    ///
    /// # Panics
    /// Panics if it can't be started.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.process.kill();
        node.process =
            Process::start(&self.program, "serve", &node.settings, &node.log).expect("a router starts");
    }

    /// Publishes the list of VMs, with these upstreams marked as leaving.
    pub fn list(&self, leaving: &[&str]) {
        let mut vms: Vec<Vm> =
            self.nodes.iter().filter(|node| node.listed).map(|node| node.vm.clone()).collect();
        for (name, upstream) in &self.bundle.upstreams {
            vms.push(Vm {
                name: name.clone(),
                role: Role::Upstream,
                data_centre: upstream.data_centre.clone(),
                address: upstream.address,
                leaving: leaving.contains(&name.as_str()),
            });
        }
        self.platform.set_vms(vms);
    }

    /// Takes a router out of the list of VMs, as the platform does once it is gone.
    pub fn unlist(&mut self, index: usize) {
        self.nodes[index].listed = false;
        self.list(&[]);
    }

    /// Cuts a router off from the platform, or joins it again.
    pub fn cut_platform(&self, index: usize, cut: bool) {
        self.nodes[index].to_platform.set(if cut { Rule::Cut } else { Rule::Pass });
    }

    /// Cuts a router off from its peers' calls, or joins it again.
    pub fn cut_peers(&self, index: usize, cut: bool) {
        let rule = if cut { Rule::Cut } else { Rule::Pass };
        self.nodes[index].from_peers.set(rule);
        self.nodes[index].from_forwards.set(rule);
    }

    /// Signs and rolls a bundle with all keys that it needs.
    ///
    /// # Errors
    /// As [`roll::roll`].
    pub async fn roll(&mut self, bundle: &Bundle) -> Result<Accepted, roll::Error> {
        let services = self.services();
        let parent = roll::current(&services).await?.map_or(0, |accepted| accepted.sequence);
        let mut package = Package::new(bundle, parent, None, "test");
        for secret in &self.secrets[..self.plan.needed] {
            package.signed.sign(secret);
        }
        let trusted: Vec<String> = self.secrets.iter().map(SecretKey::public).collect();
        let accepted = roll::roll(&services, &package, &trusted, self.plan.needed).await?;
        self.bundle = bundle.clone();
        Ok(accepted)
    }

    /// The platform as an operator reaches it.
    pub fn services(&self) -> store::Http {
        store::Http::new(self.client.clone(), self.platform.address(), Duration::from_secs(2))
    }

    /// A caller of the first team at a router.
    pub fn caller(&self, index: usize) -> Caller {
        self.caller_of(0, index)
    }

    /// A caller of a team at a router.
    pub fn caller_of(&self, team: usize, index: usize) -> Caller {
        Caller::new(self.client.clone(), self.nodes[index].callers, self.plan.teams[team].key())
    }

    /// Waits until every router is ready, knows its peers and has the accepted bundle in force.
    ///
    /// # Panics
    /// Panics if that does not happen in time.
    pub async fn ready(&self) {
        for index in 0..self.nodes.len() {
            self.until("a router is ready", || async { self.get(index, "/ready").await.is_some() }).await;
        }
        let others = self.nodes.len() - 1;
        for index in 0..self.nodes.len() {
            self.until("the routers know each other", || async {
                let status = self.status(index).await.unwrap_or_default();
                status["peers"]["alive"].as_array().map(Vec::len) == Some(others)
            })
            .await;
        }
    }

    /// What a router says of itself.
    pub async fn status(&self, index: usize) -> Option<serde_json::Value> {
        serde_json::from_str(&self.get(index, "/v1/status").await?).ok()
    }

    /// What a router's operators' listener answers with status 200.
    pub async fn get(&self, index: usize, path: &str) -> Option<String> {
        let uri = format!("http://{}{path}", self.nodes[index].operators);
        let request = http::Request::get(uri).body(net::Body::empty()).ok()?;
        let answer = self.client.exchange("get", request, 1 << 20, Duration::from_secs(2)).await.ok()?;
        let is_ok = answer.status() == 200;
        is_ok.then(|| String::from_utf8_lossy(answer.body()).into_owned())
    }

    /// Waits until something is so.
    ///
    /// # Panics
    /// Panics if it does not become so in time.
    pub async fn until<F: Future<Output = bool>>(&self, what: &str, so: impl Fn() -> F) {
        let waiting = async {
            while !so().await {
                net::exec::sleep(LOOK).await;
            }
        };
        if net::exec::timeout(PATIENCE, waiting).await.is_none() {
            let logs: Vec<String> = self.nodes.iter().map(|node| node.process.log()).collect();
            panic!("in vain: {what}\n{}", logs.join("\n--\n"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
