//! Scatter plots of policies as SVG, one panel for each pair of measures.

use std::fmt::Write;

/// A point with its label.
pub struct PlotPoint {
    /// Label.
    pub label: String,
    /// Horizontal value.
    pub x: f64,
    /// Vertical value.
    pub y: f64,
}

/// A panel with its axes and points.
pub struct PlotPanel {
    /// Title.
    pub title: String,
    /// Name of the horizontal axis.
    pub x_name: &'static str,
    /// Name of the vertical axis.
    pub y_name: &'static str,
    /// Points.
    pub points: Vec<PlotPoint>,
}

/// Size of a panel and width of its margins, in SVG units.
const WIDTH: f64 = 520.0;
const HEIGHT: f64 = 360.0;
const EDGE: f64 = 60.0;

/// Draws panels side by side, and returns the SVG document.
pub fn draw_svg(panels: &[PlotPanel]) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n",
        WIDTH * panels.len() as f64
    );
    for (index, panel) in panels.iter().enumerate() {
        draw_panel(&mut svg, panel, WIDTH * index as f64);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_panel(svg: &mut String, panel: &PlotPanel, left: f64) {
    let top = |values: &mut dyn Iterator<Item = f64>| values.fold(1e-9, f64::max) * 1.15;
    let x_top = top(&mut panel.points.iter().map(|point| point.x));
    let y_top = top(&mut panel.points.iter().map(|point| point.y));
    let (x0, y0) = (left + EDGE, HEIGHT - EDGE);
    let (width, height) = (WIDTH - 2.0 * EDGE, HEIGHT - 2.0 * EDGE);
    // Writing to a string does not fail.
    let _ = writeln!(
        svg,
        "<text x=\"{x0}\" y=\"30\" font-size=\"14\">{}</text>\
         <path d=\"M{x0} {} V{y0} H{}\" fill=\"none\" stroke=\"black\"/>\
         <text x=\"{x0}\" y=\"{}\">{} (0 to {x_top:.3})</text>\
         <text x=\"{x0}\" y=\"48\">{} (0 to {y_top:.3})</text>",
        panel.title,
        y0 - height,
        x0 + width,
        y0 + 30.0,
        panel.x_name,
        panel.y_name,
    );
    for point in &panel.points {
        let (x, y) = (x0 + point.x / x_top * width, y0 - point.y / y_top * height);
        let _ = writeln!(
            svg,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\"/><text x=\"{:.1}\" y=\"{:.1}\">{}</text>",
            x + 6.0,
            y - 4.0,
            point.label
        );
    }
}
