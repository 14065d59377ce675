//! Sections named by content hash, the signed manifest, and the keys.
//!
//! A manifest names the sequence it follows, so a signature is good for one place in the history: replaying
//! an older signed bundle, or rolling it on top of another one, is refused.

use crate::model::Bundle;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};

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
    /// The hash of each section by name.
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

/// Splits a bundle into sections: one for each team, one for each other part.
///
/// # Panics
/// Never: a bundle always serializes.
pub fn split(bundle: &Bundle) -> Vec<Section> {
    let section = |name: String, json: Result<String, serde_json::Error>| Section {
        name,
        json: json.expect("a bundle serializes to JSON"),
    };
    let mut sections: Vec<Section> = bundle
        .teams
        .iter()
        .map(|(name, team)| section(format!("team/{name}"), serde_json::to_string(team)))
        .collect();
    sections.push(section("limits".into(), serde_json::to_string(&bundle.limits)));
    sections.push(section("models".into(), serde_json::to_string(&bundle.models)));
    sections.push(section("services".into(), serde_json::to_string(&bundle.services)));
    sections.push(section("upstreams".into(), serde_json::to_string(&bundle.upstreams)));
    sections
}

/// Puts a bundle together from the sections that the manifest names; `find` looks one up by hash.
///
/// # Errors
/// Fails if a section is missing, was tampered with, or is not understood.
pub fn join<'a>(manifest: &Manifest, find: impl Fn(&str) -> Option<&'a str>) -> Result<Bundle, Error> {
    let mut bundle = Bundle::default();
    for (name, hash) in &manifest.sections {
        let json = find(hash).ok_or_else(|| Error::Missing(name.clone()))?;
        if digest(json) != *hash {
            return Err(Error::Tampered(name.clone()));
        }
        let unreadable = |error: serde_json::Error| Error::Unreadable(name.clone(), error.to_string());
        match (name.as_str(), name.strip_prefix("team/")) {
            (_, Some(team)) => {
                bundle.teams.insert(team.to_owned(), serde_json::from_str(json).map_err(unreadable)?);
            }
            ("limits", _) => bundle.limits = serde_json::from_str(json).map_err(unreadable)?,
            ("models", _) => bundle.models = serde_json::from_str(json).map_err(unreadable)?,
            ("services", _) => bundle.services = serde_json::from_str(json).map_err(unreadable)?,
            ("upstreams", _) => bundle.upstreams = serde_json::from_str(json).map_err(unreadable)?,
            _ => return Err(Error::Unreadable(name.clone(), "unknown section".to_owned())),
        }
    }
    Ok(bundle)
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
