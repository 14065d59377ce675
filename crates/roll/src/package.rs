//! A signed bundle in one file: the manifest, its signatures and the sections.

use bundle::{Bundle, Error, Manifest, SignedManifest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A bundle that is passed from its author to reviewers for signing, and then rolled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Package {
    /// The manifest and its signatures.
    pub signed: SignedManifest,
    /// The JSON of the sections, by digest.
    pub sections: BTreeMap<String, String>,
}

impl Package {
    /// Creates an unsigned package of a bundle that follows the sequence number `parent`.
    pub fn new(bundle: &Bundle, parent: u64, rollback_to: Option<u64>, note: &str) -> Package {
        let split = bundle::split(bundle);
        let listed = split.iter().filter(|section| bundle::is_named_by_manifest(&section.name));
        let names = listed.map(|section| (section.name.clone(), bundle::digest(&section.json))).collect();
        let manifest = Manifest { parent, rollback_to, sections: names, note: note.to_owned() };
        let sections =
            split.into_iter().map(|section| (bundle::digest(&section.json), section.json)).collect();
        Package { signed: SignedManifest::new(&manifest), sections }
    }

    /// Verifies the signatures and the sections.
    ///
    /// # Errors
    /// Fails if there are too few signatures, or a section is missing, changed or can't be parsed.
    pub fn verify(&self, trusted: &[String], needed: usize) -> Result<(Manifest, Bundle), Error> {
        let manifest = bundle::verify(&self.signed, trusted, needed)?;
        let content =
            bundle::join(&manifest, |digest| self.sections.get(digest).map(String::as_str), |_| None)?;
        Ok((manifest, content))
    }
}
