//! Plots goodput by load for the docs.

use super::simulation::Policy;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;

const PATH: &str = "docs/images/policy.svg";
const SIZE: (u32, u32) = (900, 380);

/// A measured point.
pub struct Point {
    pub users: &'static str,
    pub policy: Policy,
    pub load: f64,
    pub goodput: f64,
}

/// Draws a chart for each user and returns the path of the image.
pub fn draw(points: &[Point]) -> Result<String, Box<dyn Error>> {
    std::fs::create_dir_all("docs/images")?;
    let area = SVGBackend::new(PATH, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let users: Vec<&str> = {
        let mut users: Vec<&str> = points.iter().map(|point| point.users).collect();
        users.dedup();
        users
    };
    for (panel, users) in area.split_evenly((1, users.len())).iter().zip(&users) {
        let own: Vec<&Point> = points.iter().filter(|point| point.users == *users).collect();
        let max = own.iter().map(|point| point.goodput).fold(0.0, f64::max) * 1.15;
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{users}: goodput over load"), ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.4..3.1, 0.0..max)?;
        chart.configure_mesh().x_desc("offered load / capacity").y_desc("requests/s in time").draw()?;
        let mut lines: BTreeMap<Policy, Vec<(f64, f64)>> = BTreeMap::new();
        for point in own {
            lines.entry(point.policy).or_default().push((point.load, point.goodput));
        }
        for (index, (policy, line)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(line, color.stroke_width(2)))?
                .label(format!("{policy:?}"))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    }
    area.present()?;
    Ok(PATH.to_owned())
}
