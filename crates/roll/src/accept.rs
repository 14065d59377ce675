//! Accepts bundles in a transaction, and reads accepted bundles.

use crate::{Accepted, HEAD_KEY, LOG_PREFIX, Package, log_key, object_key};
use bundle::{Bundle, Change, Manifest, SignedManifest};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::{Platform, Row, Tx, TxOutcome};
use uuid::Uuid;

/// The maximum number of attempts to commit a bundle.
const MAX_ATTEMPTS: u32 = 20;
/// The pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The reason why an operation on the accepted bundles failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The signatures or the sections are invalid.
    #[error("the bundle is rejected: {0}")]
    Bundle(#[from] bundle::Error),
    /// Another bundle was accepted after this one was signed.
    #[error(
        "conflict: this bundle follows sequence {parent}, but sequence {current} was accepted since; \
         compare them with 'bundle diff', then sign again"
    )]
    Conflict {
        /// The sequence number that this bundle follows.
        parent: u64,
        /// The sequence number that is accepted now.
        current: u64,
    },
    /// The bundle would change an existing prepayment.
    #[error("the bundle is rejected: {0}")]
    Refused(Change),
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] store::Error),
    /// It is unknown whether the bundle was accepted.
    #[error(
        "it is unknown whether the bundle was accepted ({0}); check with 'bundle log' once the platform is \
         available"
    )]
    Unknown(store::Error),
    /// There is no bundle with this sequence number.
    #[error("sequence {0} was never accepted")]
    NoSequence(u64),
    /// A row or object is missing or can't be parsed.
    #[error("{0} can't be read: {1}")]
    Unreadable(String, String),
}

/// Reads the entry of the currently accepted bundle; `None` if none was accepted yet.
///
/// # Errors
/// Fails if a call to the platform fails or the entry can't be parsed.
pub async fn current(platform: &impl Platform) -> Result<Option<Accepted>, Error> {
    Ok(read_head(platform).await?.1)
}

async fn read_head(platform: &impl Platform) -> Result<(Option<Row>, Option<Accepted>), Error> {
    let row = platform.read(&[HEAD_KEY.to_owned()]).await?.into_iter().next().flatten();
    let accepted = match &row {
        Some(row) => Some(decode(HEAD_KEY, row)?),
        None => None,
    };
    Ok((row, accepted))
}

fn decode(key: &str, row: &Row) -> Result<Accepted, Error> {
    row.decode().map_err(|error| Error::Unreadable(key.to_owned(), error.to_string()))
}

/// Reads the log of accepted bundles, oldest first.
///
/// # Errors
/// Fails if a call to the platform fails or an entry can't be parsed.
pub async fn history(platform: &impl Platform) -> Result<Vec<Accepted>, Error> {
    let rows = platform.scan(LOG_PREFIX).await?;
    rows.iter().map(|(key, row)| decode(key, row)).collect()
}

/// Reads the accepted bundle with this sequence number.
///
/// # Errors
/// Fails if there is no such bundle, it can't be parsed, or a call to the platform fails.
pub async fn load(platform: &impl Platform, sequence: u64) -> Result<Bundle, Error> {
    let key = log_key(sequence);
    let row = platform.read(std::slice::from_ref(&key)).await?.into_iter().next().flatten();
    let accepted = decode(&key, &row.ok_or(Error::NoSequence(sequence))?)?;
    let text = load_text(platform, &accepted.manifest).await?;
    let unreadable = |error: serde_json::Error| Error::Unreadable("manifest".to_owned(), error.to_string());
    let signed: SignedManifest = serde_json::from_str(&text).map_err(unreadable)?;
    let manifest: Manifest = serde_json::from_str(&signed.manifest).map_err(unreadable)?;
    let mut sections = std::collections::BTreeMap::new();
    for digest in manifest.sections.values() {
        sections.insert(digest.clone(), load_text(platform, digest).await?);
    }
    let teams = bundle::team_digests(&manifest, |digest| sections.get(digest).map(String::as_str))?;
    for digest in teams.values() {
        sections.insert(digest.clone(), load_text(platform, digest).await?);
    }
    Ok(bundle::join(&manifest, |digest| sections.get(digest).map(String::as_str), |_| None)?)
}

async fn load_text(platform: &impl Platform, digest: &str) -> Result<String, Error> {
    let key = object_key(digest);
    let bytes = platform.load(&key).await?;
    let text = bytes.and_then(|bytes| String::from_utf8(bytes).ok());
    text.ok_or_else(|| Error::Unreadable(key, "missing, or not UTF-8".to_owned()))
}

/// Accepts a signed bundle if at least `needed` of the `trusted` keys signed it and it follows the currently
/// accepted one.
///
/// # Errors
/// See [`Error`]. The bundle was not accepted, except that this is unknown after [`Error::Unknown`].
pub async fn roll(
    platform: &impl Platform,
    package: &Package,
    trusted: &[String],
    needed: usize,
) -> Result<Accepted, Error> {
    let (manifest, content) = package.verify(trusted, needed)?;
    let (_, head) = read_head(platform).await?;
    check_parent(&manifest, head.as_ref())?;
    if manifest.parent > 0 {
        let before = load(platform, manifest.parent).await?;
        if let Some(change) = bundle::diff(&before, &content).into_iter().find(|change| change.refused) {
            return Err(Error::Refused(change));
        }
    }
    upload(platform, package).await?;

    let accepted = Accepted {
        sequence: manifest.parent + 1,
        manifest: package.signed.digest(),
        by: package.signed.seals.iter().map(|seal| seal.key.clone()).collect(),
        note: manifest.note.clone(),
        rollback_to: manifest.rollback_to,
        token: Uuid::new_v4().to_string(),
        at: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs()),
    };
    commit(platform, &manifest, accepted).await
}

fn check_parent(manifest: &Manifest, head: Option<&Accepted>) -> Result<(), Error> {
    let current = head.map_or(0, |head| head.sequence);
    if manifest.parent == current {
        return Ok(());
    }
    Err(Error::Conflict { parent: manifest.parent, current })
}

async fn upload(platform: &impl Platform, package: &Package) -> Result<(), Error> {
    for (digest, json) in &package.sections {
        if platform.load(&object_key(digest)).await?.is_none() {
            platform.store(&object_key(digest), json.clone().into_bytes()).await?;
        }
    }
    let signed = serde_json::to_string(&package.signed).unwrap_or_default();
    platform.store(&object_key(&package.signed.digest()), signed.into_bytes()).await?;
    Ok(())
}

/// Updates the head row and appends to the log. Repeats the attempt until the outcome is known.
async fn commit(
    platform: &impl Platform,
    manifest: &Manifest,
    accepted: Accepted,
) -> Result<Accepted, Error> {
    let key = log_key(accepted.sequence);
    let mut failure = None;
    for _ in 0..MAX_ATTEMPTS {
        match try_commit(platform, manifest, &accepted, &key).await {
            Ok(Some(())) => return Ok(accepted),
            Ok(None) => {}
            Err(Error::Platform(error)) => failure = Some(error),
            Err(error) => return Err(error),
        }
        net::exec::sleep(RETRY_DELAY).await;
    }
    match failure {
        Some(error) => Err(Error::Unknown(error)),
        None => Err(Error::Conflict { parent: manifest.parent, current: accepted.sequence }),
    }
}

/// Tries to commit once; returns `None` if another attempt is needed. Finds its own log entry if an earlier
/// attempt succeeded but its answer was lost.
async fn try_commit(
    platform: &impl Platform,
    manifest: &Manifest,
    accepted: &Accepted,
    key: &str,
) -> Result<Option<()>, Error> {
    let (row, head) = read_head(platform).await?;
    if let Some(log) = platform.read(&[key.to_owned()]).await?.into_iter().next().flatten()
        && decode(key, &log)?.token == accepted.token
    {
        return Ok(Some(()));
    }
    check_parent(manifest, head.as_ref())?;
    let tx = Tx::default()
        .require_unchanged(HEAD_KEY, row.as_ref())
        .require_absent(key)
        .put(HEAD_KEY, accepted)
        .put(key, accepted);
    match platform.commit(&tx).await? {
        TxOutcome::Applied => Ok(Some(())),
        TxOutcome::Conflict => Ok(None),
    }
}
