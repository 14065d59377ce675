//! Sections named by content hash, the signed manifest, and the keys.
//!
//! A manifest names the sequence it follows, so a signature is good for one place in the history: replaying
//! an older signed bundle, or rolling it on top of another one, is refused.

use crate::model::{Bundle, Team};
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The start of an index's name.
const GROUP: &str = "teams/";
/// Bytes of a key.
const KEY_BYTES: usize = 32;

/// Why a signed bundle is rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A key or signature is not valid hex of the right length.
    #[error("{0} is not a key or signature in hex")]
    Encoding(String),
    /// Too few trusted signatures.
    #[error("{valid} valid signatures of trusted keys, {needed} are needed")]
    UnderSigned {
        /// Distinct trusted keys whose signature is right.
        valid: usize,
        /// How many there must be.
        needed: usize,
    },
    /// A section does not have the hash that the manifest names.
    #[error("section {0} was changed after it was signed")]
    Tampered(String),
    /// A section is not there.
    #[error("section {0} is missing")]
    Missing(String),
    /// A section can't be read by this version of the program.
    #[error("section {0} is not understood: {1}")]
    Unreadable(String, String),
}

/// A part of a bundle as canonical JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Section {
    /// The name, for example `team/storm-desk`.
    pub name: String,
    /// The content.
    pub json: String,
}

/// What is signed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Manifest {
    /// The accepted sequence that this bundle follows; 0 for the first.
    pub parent: u64,
    /// For a rollback, the sequence whose content is taken up again.
    pub rollback_to: Option<u64>,
    /// The hash of each section that is not named by an index, by name.
    pub sections: BTreeMap<String, String>,
    /// Why, in the author's words.
    pub note: String,
}

/// One signature of a manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Seal {
    /// The public key in hex.
    pub key: String,
    /// The signature in hex.
    pub signature: String,
}

/// A manifest with its signatures, as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Signed {
    /// The manifest's JSON, byte for byte as it was signed.
    pub manifest: String,
    /// The signatures.
    pub seals: Vec<Seal>,
}

impl Signed {
    /// Makes an unsigned manifest ready for signing.
    ///
    /// # Panics
    /// Never: a manifest always serializes.
    pub fn new(manifest: &Manifest) -> Signed {
        let manifest = serde_json::to_string(manifest).expect("a manifest serializes to JSON");
        Signed { manifest, seals: vec![] }
    }

    /// Adds a signature, in place of an earlier one by the same key.
    pub fn sign(&mut self, secret: &Secret) {
        let key = secret.public();
        let signature = hex::encode(secret.0.sign(self.manifest.as_bytes()).to_bytes());
        self.seals.retain(|seal| seal.key != key);
        self.seals.push(Seal { key, signature });
    }

    /// The name under which it is stored.
    pub fn digest(&self) -> String {
        digest(&serde_json::to_string(self).unwrap_or_default())
    }
}

/// A signing key.
#[derive(Clone, Debug)]
pub struct Secret(SigningKey);

impl Secret {
    /// Makes a new key from the system's random numbers.
    pub fn generate() -> Secret {
        Secret(SigningKey::generate(&mut rand::rngs::OsRng))
    }

    /// Reads a key from hex.
    ///
    /// # Errors
    /// Fails unless the text is 64 hex digits.
    pub fn from_hex(text: &str) -> Result<Secret, Error> {
        decode::<KEY_BYTES>(text.trim()).map(|bytes| Secret(SigningKey::from_bytes(&bytes)))
    }

    /// Writes the key as hex.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0.to_bytes())
    }

    /// The public key in hex.
    pub fn public(&self) -> String {
        hex::encode(self.0.verifying_key().to_bytes())
    }
}

/// SHA-256 of a text in hex.
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}

/// Splits a bundle into sections: one for each team, an index for each group of teams, and one for each
/// other part. The manifest names the indexes, so that a change of one team costs the size of that team, its
/// index and the manifest, which all grow with the square root of the bundle at most.
///
/// # Panics
/// Never: a bundle always serializes.
pub fn split(bundle: &Bundle) -> Vec<Section> {
    let groups = group_count(bundle.teams.len());
    let mut indexes: BTreeMap<String, BTreeMap<&str, String>> = BTreeMap::new();
    let mut sections = vec![];
    for (name, team) in &bundle.teams {
        let section = section(format!("team/{name}"), team);
        let index = indexes.entry(group_of(name, groups)).or_default();
        index.insert(name, digest(&section.json));
        sections.push(section);
    }
    sections.extend(indexes.into_iter().map(|(group, index)| section(group, &index)));
    sections.push(section("limits".to_owned(), &bundle.limits));
    // A bundle without it keeps the digest that it had before there was such a section.
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

/// A power of two near the square root.
fn group_count(teams: usize) -> usize {
    teams.isqrt().next_power_of_two()
}

fn group_of(team: &str, groups: usize) -> String {
    let hash = Sha256::digest(team.as_bytes());
    let number = usize::from(u16::from_be_bytes([hash[0], hash[1]])) % groups;
    format!("{GROUP}{number:04}")
}

/// Whether a section is named by the manifest itself, and not by an index.
pub fn is_named_by_manifest(name: &str) -> bool {
    !name.starts_with("team/")
}

/// Reads the digests of the teams that an index names.
///
/// # Errors
/// Fails if it is not an index.
pub fn read_index(name: &str, json: &str) -> Result<BTreeMap<String, String>, Error> {
    serde_json::from_str(json).map_err(|error| Error::Unreadable(name.to_owned(), error.to_string()))
}

/// The digests of the teams, from the indexes that are found.
///
/// # Errors
/// Fails if an index is missing or is not one.
pub fn team_digests<'a>(
    manifest: &Manifest,
    find: impl Fn(&str) -> Option<&'a str>,
) -> Result<BTreeMap<String, String>, Error> {
    let mut teams = BTreeMap::new();
    for (name, hash) in manifest.sections.iter().filter(|(name, _)| name.starts_with(GROUP)) {
        teams.extend(read_index(name, get(name, hash, &find)?)?);
    }
    Ok(teams)
}

fn get<'a>(name: &str, hash: &str, find: &impl Fn(&str) -> Option<&'a str>) -> Result<&'a str, Error> {
    let json = find(hash).ok_or_else(|| Error::Missing(name.to_owned()))?;
    if digest(json) != *hash {
        return Err(Error::Tampered(name.to_owned()));
    }
    Ok(json)
}

/// Puts a bundle together from the sections that the manifest names; `find` looks one up by hash, and
/// `reuse` gives a team that was read before.
///
/// # Errors
/// Fails if a section is missing, was tampered with, or is not understood.
pub fn join<'a>(
    manifest: &Manifest,
    find: impl Fn(&str) -> Option<&'a str>,
    reuse: impl Fn(&str) -> Option<Arc<Team>>,
) -> Result<Bundle, Error> {
    let mut bundle = Bundle::default();
    for (name, hash) in team_digests(manifest, &find)? {
        let team = match reuse(&hash) {
            Some(team) => team,
            None => Arc::new(parse(&name, get(&name, &hash, &find)?)?),
        };
        bundle.teams.insert(name, team);
    }
    for (name, hash) in manifest.sections.iter().filter(|(name, _)| !name.starts_with(GROUP)) {
        let json = get(name, hash, &find)?;
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

/// Checks the signatures and reads the manifest.
///
/// # Errors
/// Fails unless `needed` distinct keys of `trusted` signed it.
pub fn verify(signed: &Signed, trusted: &[String], needed: usize) -> Result<Manifest, Error> {
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
