//! Content-addressed sections, the signed manifest, and signing keys.
//!
//! A manifest names the sequence number that it follows, so its signature is valid at one place in the
//! history only: an older signed bundle can't be replayed or applied on top of another one.

use crate::model::{Bundle, Team};
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The prefix of the names of index sections.
const INDEX_PREFIX: &str = "teams/";
/// The length of a key, in bytes.
const KEY_BYTES: usize = 32;

/// The reason why a signed bundle is rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A key or signature is not hex, or has the wrong length.
    #[error("{0} is not a key or signature in hex")]
    Encoding(String),
    /// There are too few valid signatures of trusted keys.
    #[error("{valid} valid signatures of trusted keys, {needed} required")]
    UnderSigned {
        /// The number of distinct trusted keys with a valid signature.
        valid: usize,
        /// The required number.
        needed: usize,
    },
    /// The hash of a section differs from the one in the manifest or index.
    #[error("section {0} was changed after it was signed")]
    Tampered(String),
    /// A section is missing.
    #[error("section {0} is missing")]
    Missing(String),
    /// A section can't be parsed, possibly because it was written for another version of the program.
    #[error("section {0} can't be parsed: {1}")]
    Unreadable(String, String),
}

/// A part of a bundle as canonical JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Section {
    /// The name, such as `team/storm-desk`.
    pub name: String,
    /// The content.
    pub json: String,
}

/// The signed list of the sections of a bundle.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Manifest {
    /// The sequence number of the accepted bundle that this one follows; 0 for the first one.
    pub parent: u64,
    /// For a rollback, the sequence number of the bundle whose content is restored.
    pub rollback_to: Option<u64>,
    /// The hashes of the sections that no index lists, by name.
    pub sections: BTreeMap<String, String>,
    /// The author's note on the purpose of the change.
    pub note: String,
}

/// A signature of a manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ManifestSignature {
    /// The public key in hex.
    pub key: String,
    /// The signature in hex.
    pub signature: String,
}

/// A manifest with its signatures, in the form in which it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SignedManifest {
    /// The JSON of the manifest, exactly as it was signed.
    pub manifest: String,
    /// The signatures.
    pub seals: Vec<ManifestSignature>,
}

impl SignedManifest {
    /// Serializes a manifest, without signatures.
    ///
    /// # Panics
    /// Never: a manifest always serializes.
    pub fn new(manifest: &Manifest) -> SignedManifest {
        let manifest = serde_json::to_string(manifest).expect("a manifest serializes to JSON");
        SignedManifest { manifest, seals: vec![] }
    }

    /// Adds a signature, which replaces an earlier one by the same key.
    pub fn sign(&mut self, secret: &SecretKey) {
        let key = secret.public();
        let signature = hex::encode(secret.0.sign(self.manifest.as_bytes()).to_bytes());
        self.seals.retain(|seal| seal.key != key);
        self.seals.push(ManifestSignature { key, signature });
    }

    /// The digest under which it is stored.
    pub fn digest(&self) -> String {
        digest(&serde_json::to_string(self).unwrap_or_default())
    }
}

/// A signing key.
#[derive(Clone, Debug)]
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Generates a key with the random number generator of the operating system.
    pub fn generate() -> SecretKey {
        SecretKey(SigningKey::generate(&mut rand::rngs::OsRng))
    }

    /// Parses a key in hex.
    ///
    /// # Errors
    /// Fails unless the text is 64 hex digits.
    pub fn from_hex(text: &str) -> Result<SecretKey, Error> {
        decode::<KEY_BYTES>(text.trim()).map(|bytes| SecretKey(SigningKey::from_bytes(&bytes)))
    }

    /// Returns the key in hex.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    /// Returns the public key in hex.
    pub fn public(&self) -> String {
        hex::encode(self.0.verifying_key().to_bytes())
    }
}

/// Returns the SHA-256 hash of a text, in hex.
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Splits a bundle into sections: one for each team, an index for each group of teams, and one for each other
/// part.
///
/// The manifest lists the indexes and not the teams, so after the change of a team only that team, its index
/// and the manifest are fetched. The sizes of index and manifest grow at most with the square root of the
/// number of teams.
///
/// # Panics
/// Never: a bundle always serializes.
pub fn split(bundle: &Bundle) -> Vec<Section> {
    let count = index_count(bundle.teams.len());
    let mut indexes: BTreeMap<String, BTreeMap<&str, String>> = BTreeMap::new();
    let mut sections = vec![];
    for (name, team) in &bundle.teams {
        let section = section(format!("team/{name}"), team);
        let index = indexes.entry(index_name(name, count)).or_default();
        index.insert(name, digest(&section.json));
        sections.push(section);
    }
    sections.extend(indexes.into_iter().map(|(group, index)| section(group, &index)));
    sections.push(section("limits".to_owned(), &bundle.limits));
    // Bundles without evacuated data centres have no such section, so their digest is the same as before the
    // section was introduced.
    if !bundle.evacuated.is_empty() {
        sections.push(section("evacuated".to_owned(), &bundle.evacuated));
    }
    sections.push(section("models".to_owned(), &bundle.models));
    sections.push(section("services".to_owned(), &bundle.services));
    sections.push(section("upstreams".to_owned(), &bundle.upstreams));
    sections
}

fn section(name: String, content: &impl Serialize) -> Section {
    Section { name, json: serde_json::to_string(content).expect("a bundle serializes to JSON") }
}

/// The number of indexes: a power of two near the square root of the number of teams.
fn index_count(teams: usize) -> usize {
    teams.isqrt().next_power_of_two()
}

fn index_name(team: &str, count: usize) -> String {
    let hash = Sha256::digest(team.as_bytes());
    let number = usize::from(u16::from_be_bytes([hash[0], hash[1]])) % count;
    format!("{INDEX_PREFIX}{number:04}")
}

/// Whether the manifest itself lists a section; the indexes list the sections of teams.
pub fn is_named_by_manifest(name: &str) -> bool {
    !name.starts_with("team/")
}

/// Parses an index: the digests of the teams, by name.
///
/// # Errors
/// Fails if `json` is not an index.
pub fn parse_index(name: &str, json: &str) -> Result<BTreeMap<String, String>, Error> {
    serde_json::from_str(json).map_err(|error| Error::Unreadable(name.to_owned(), error.to_string()))
}

/// Returns the digests of all teams, by name. `find` looks up an index by its digest.
///
/// # Errors
/// Fails if an index is missing, was changed, or can't be parsed.
pub fn team_digests<'a>(
    manifest: &Manifest,
    find: impl Fn(&str) -> Option<&'a str>,
) -> Result<BTreeMap<String, String>, Error> {
    let mut teams = BTreeMap::new();
    for (name, hash) in manifest.sections.iter().filter(|(name, _)| name.starts_with(INDEX_PREFIX)) {
        teams.extend(parse_index(name, verified_section(name, hash, &find)?)?);
    }
    Ok(teams)
}

fn verified_section<'a>(
    name: &str,
    hash: &str,
    find: &impl Fn(&str) -> Option<&'a str>,
) -> Result<&'a str, Error> {
    let json = find(hash).ok_or_else(|| Error::Missing(name.to_owned()))?;
    if digest(json) != *hash {
        return Err(Error::Tampered(name.to_owned()));
    }
    Ok(json)
}

/// Assembles a bundle from the sections that the manifest lists. `find` looks up a section by its digest, and
/// `reuse` a team that was parsed before.
///
/// # Errors
/// Fails if a section is missing, was changed, or can't be parsed.
pub fn join<'a>(
    manifest: &Manifest,
    find: impl Fn(&str) -> Option<&'a str>,
    reuse: impl Fn(&str) -> Option<Arc<Team>>,
) -> Result<Bundle, Error> {
    let mut bundle = Bundle::default();
    for (name, hash) in team_digests(manifest, &find)? {
        let team = match reuse(&hash) {
            Some(team) => team,
            None => Arc::new(parse(&name, verified_section(&name, &hash, &find)?)?),
        };
        bundle.teams.insert(name, team);
    }
    for (name, hash) in manifest.sections.iter().filter(|(name, _)| !name.starts_with(INDEX_PREFIX)) {
        let json = verified_section(name, hash, &find)?;
        match name.as_str() {
            "evacuated" => bundle.evacuated = parse(name, json)?,
            "limits" => bundle.limits = parse(name, json)?,
            "models" => bundle.models = parse(name, json)?,
            "services" => bundle.services = parse(name, json)?,
            "upstreams" => bundle.upstreams = parse(name, json)?,
            _ => return Err(Error::Unreadable(name.clone(), "unknown section".to_owned())),
        }
    }
    Ok(bundle)
}

fn parse<T: DeserializeOwned>(name: &str, json: &str) -> Result<T, Error> {
    serde_json::from_str(json).map_err(|error| Error::Unreadable(name.to_owned(), error.to_string()))
}

/// Verifies the signatures and parses the manifest.
///
/// # Errors
/// Fails unless at least `needed` distinct keys of `trusted` signed the manifest.
pub fn verify(signed: &SignedManifest, trusted: &[String], needed: usize) -> Result<Manifest, Error> {
    let mut valid = BTreeSet::new();
    for seal in signed.seals.iter().filter(|seal| trusted.contains(&seal.key)) {
        let key = VerifyingKey::from_bytes(&decode::<KEY_BYTES>(&seal.key)?)
            .map_err(|_| Error::Encoding(seal.key.clone()))?;
        let signature = Signature::from_bytes(&decode::<{ Signature::BYTE_SIZE }>(&seal.signature)?);
        if key.verify(signed.manifest.as_bytes(), &signature).is_ok() {
            valid.insert(&seal.key);
        }
    }
    if valid.len() < needed {
        return Err(Error::UnderSigned { valid: valid.len(), needed });
    }
    serde_json::from_str(&signed.manifest)
        .map_err(|error| Error::Unreadable("manifest".to_owned(), error.to_string()))
}

fn decode<const N: usize>(text: &str) -> Result<[u8; N], Error> {
    let bytes = hex::decode(text).ok().and_then(|bytes| bytes.try_into().ok());
    bytes.ok_or_else(|| Error::Encoding(text.chars().take(16).collect()))
}
