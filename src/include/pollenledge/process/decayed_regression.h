#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <utility>

namespace pollenledge {

/// Linear least squares in which old observations lose weight: y is a constant
/// plus a non-negative multiple of each of `N` features.
///
/// Features should be scaled to about 1. Not thread-safe.
template <std::size_t N>
class DecayedRegression {
 public:
  using Features = std::array<double, N>;

  /// `memory` is the weight of newer observations after which an observation
  /// has lost two thirds of its own.
  explicit DecayedRegression(double memory) : memory_(memory) {}

  void Add(const Features& features, double y, double weight) {
    const double keep = std::exp(-weight / memory_);
    const std::array<double, N + 1> x = WithConstant(features);
    for (std::size_t i = 0; i <= N; ++i) {
      for (std::size_t j = 0; j <= N; ++j) {
        products_[i][j] = products_[i][j] * keep + weight * x[i] * x[j];
      }
      targets_[i] = targets_[i] * keep + weight * x[i] * y;
    }
    is_solved_ = false;
  }

  /// Sum of the weights of the observations, as decayed.
  double weight() const { return products_[N][N]; }

  /// Returns 0 if there are no observations.
  double Predict(const Features& features) const {
    if (!is_solved_) Solve();
    const std::array<double, N + 1> x = WithConstant(features);
    double y = 0;
    for (std::size_t i = 0; i <= N; ++i) y += x[i] * coefficients_[i];
    return std::max(0.0, y);
  }

 private:
  /// The constant comes last, so that it is eliminated last.
  static std::array<double, N + 1> WithConstant(const Features& features) {
    std::array<double, N + 1> x{};
    std::copy(features.begin(), features.end(), x.begin());
    x[N] = 1;
    return x;
  }

  void Solve() const {
    is_solved_ = true;
    coefficients_ = {};
    if (weight() <= 0) return;
    std::array<bool, N + 1> used;
    used.fill(true);
    // A feature with a negative multiple only follows noise: it is left out.
    for (std::size_t round = 0; round <= N; ++round) {
      SolveFor(used);
      const auto worst =
          std::min_element(coefficients_.begin(), coefficients_.end() - 1);
      if (*worst >= 0) return;
      used[static_cast<std::size_t>(worst - coefficients_.begin())] = false;
    }
  }

  /// Gaussian elimination; features that are not used get the coefficient 0.
  void SolveFor(const std::array<bool, N + 1>& used) const {
    // Keeps the system solvable when a feature has only had one value.
    constexpr double kRidge = 1e-4;
    auto matrix = products_;
    auto right = targets_;
    for (std::size_t i = 0; i <= N; ++i) {
      if (i < N) matrix[i][i] += kRidge * weight();
      if (used[i]) continue;
      for (std::size_t j = 0; j <= N; ++j) matrix[i][j] = matrix[j][i] = 0;
      matrix[i][i] = 1;
      right[i] = 0;
    }
    for (std::size_t i = 0; i <= N; ++i) {
      for (std::size_t row = i + 1; row <= N; ++row) {
        const double factor = matrix[row][i] / matrix[i][i];
        for (std::size_t j = i; j <= N; ++j)
          matrix[row][j] -= factor * matrix[i][j];
        right[row] -= factor * right[i];
      }
    }
    for (std::size_t i = N + 1; i-- > 0;) {
      double sum = right[i];
      for (std::size_t j = i + 1; j <= N; ++j)
        sum -= matrix[i][j] * coefficients_[j];
      coefficients_[i] = sum / matrix[i][i];
    }
  }

  double memory_;
  std::array<std::array<double, N + 1>, N + 1> products_{};
  std::array<double, N + 1> targets_{};
  mutable std::array<double, N + 1> coefficients_{};
  mutable bool is_solved_ = false;
};

}  // namespace pollenledge
