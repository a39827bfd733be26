/// A least-squares line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// The value at zero.
    pub base: f64,
    /// The growth of the value per unit.
    pub slope: f64,
}

impl Line {
    /// Fits a line to points of `(x, y)`. Returns `None` unless two points differ in `x`.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let mut sum_xx = 0.0;
        let mut sum_xy = 0.0;
        for (x, y) in points {
            sum_xx += (x - mean_x) * (x - mean_x);
            sum_xy += (x - mean_x) * (y - mean_y);
        }
        if points.len() < 2 || sum_xx == 0.0 {
            return None;
        }
        let slope = sum_xy / sum_xx;
        Some(Self { base: mean_y - slope * mean_x, slope })
    }
}

#[cfg(test)]
mod tests {
    use super::Line;

    #[test]
    fn fits_a_line() {
        let line = Line::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
        assert!((line.slope - 2.0).abs() < 1e-9 && (line.base - 3.0).abs() < 1e-9);
    }

    #[test]
    fn returns_none_for_points_that_determine_no_line() {
        assert_eq!(Line::fit(&[]), None);
        assert_eq!(Line::fit(&[(1.0, 5.0)]), None);
        assert_eq!(Line::fit(&[(1.0, 5.0), (1.0, 6.0)]), None);
    }
}
