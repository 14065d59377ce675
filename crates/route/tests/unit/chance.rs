//! Guards against denials by crashes that chance explains.

use super::{combined, is_excluded};

#[test]
fn the_combined_probability_of_one_is_itself() {
    for chance in [0.001, 0.2, 1.0] {
        assert!((combined(&[chance]) - chance).abs() < 1e-9);
    }
    assert!((combined(&[]) - 1.0).abs() < 1e-9);
    // Of two evenly distributed numbers: x (1 - ln x) for the product x.
    let product: f64 = 0.05 * 0.2;
    assert!((combined(&[0.05, 0.2]) - product * (1.0 - product.ln())).abs() < 1e-9);
}

#[test]
fn crashes_in_the_whole_time_of_runs_never_exclude_chance() {
    for count in [3, 10, 300] {
        assert!(!is_excluded(&vec![0.7; count]), "{count} crashes");
        assert!(!is_excluded(&vec![0.4; count]), "{count} crashes");
    }
}

#[test]
fn three_crashes_in_a_small_part_of_the_time_exclude_chance() {
    assert!(is_excluded(&[0.05; 3]));
    assert!(is_excluded(&[0.0; 3]));
    assert!(!is_excluded(&[0.05]));
}

/// Each of a million harmless parts is judged after each of its crashes.
#[test]
fn the_share_of_harmless_parts_that_are_ever_excluded_is_bounded() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    let mut random = SmallRng::seed_from_u64(7);
    let (mut excluded, parts) = (0, 20_000);
    for _ in 0..parts {
        let mut chances = vec![];
        for _ in 0..40 {
            chances.push(random.r#gen::<f64>());
            if chances.len() >= 3 && is_excluded(&chances) {
                excluded += 1;
                break;
            }
        }
    }
    assert!(f64::from(excluded) < 0.036 * f64::from(parts), "{excluded} of {parts}");
}
