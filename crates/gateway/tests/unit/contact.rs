use super::*;
use crate::support::node;
use route::silence::Close;
use smol::net::TcpListener;
use standin::TableRows;
use std::sync::atomic::AtomicU32;

/// Guards against probes without a pause, of an upstream that closes each connection at once.
#[test]
fn an_upstream_that_refuses_each_connection_is_probed_at_intervals() {
    let node = node("vm-1", 1, &TableRows::default());
    exec::block_on(async {
        let listener = TcpListener::bind(standin::loopback()).await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let probes = Arc::new(AtomicU32::new(0));
        let counted = probes.clone();
        exec::spawn(async move {
            while listener.accept().await.is_ok() {
                counted.fetch_add(1, Ordering::Relaxed);
            }
        })
        .detach();
        let upstream = Upstream {
            name: "e-1".to_owned(),
            address,
            health_path: Some("/health".to_owned()),
            contact: Arc::default(),
        };
        let closed = node.now() + 1;
        let run = ClosedRun { closed, close: Close::ByGateway, is_leaving: false, stops_at: None };
        let waiting = upstream.until_known(&node, &run);
        assert!(exec::timeout(Duration::from_secs(1), waiting).await.is_none(), "it answers nothing");
        let probes = probes.load(Ordering::Relaxed);
        assert!((2..=20).contains(&probes), "{probes} probes in a second");
    });
}
