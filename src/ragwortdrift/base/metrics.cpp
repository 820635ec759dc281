#include "ragwortdrift/base/metrics.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <type_traits>

namespace ragwortdrift {
namespace {

namespace acc = boost::accumulators;

bool isOrderedBefore(const MetricSample &A, const MetricSample &B) {
  return std::tie(A.m_Name, A.m_Labels) < std::tie(B.m_Name, B.m_Labels);
}

void mergeTiming(TimingSummary &Target, const TimingSummary &Source) {
  const auto Total =
      static_cast<double>(Target.m_PeriodCount + Source.m_PeriodCount);
  if (Total > 0) {
    const double TargetWeight =
        static_cast<double>(Target.m_PeriodCount) / Total;
    const double SourceWeight =
        static_cast<double>(Source.m_PeriodCount) / Total;
    Target.m_Mean = Target.m_Mean * TargetWeight + Source.m_Mean * SourceWeight;
    for (std::size_t I = 0; I < Target.m_Quantiles.size(); ++I)
      Target.m_Quantiles[I] = Target.m_Quantiles[I] * TargetWeight +
                              Source.m_Quantiles[I] * SourceWeight;
  }
  Target.m_Max = std::max(Target.m_Max, Source.m_Max);
  Target.m_PeriodCount += Source.m_PeriodCount;
  Target.m_Count += Source.m_Count;
  Target.m_Sum += Source.m_Sum;
}

void mergeValue(MetricSample &Target, const MetricSample &Source) {
  if (Target.m_Value.index() != Source.m_Value.index())
    return;
  if (auto *C = std::get_if<Counter>(&Target.m_Value))
    C->add(std::get<Counter>(Source.m_Value).value());
  else if (auto *G = std::get_if<Gauge>(&Target.m_Value))
    G->add(std::get<Gauge>(Source.m_Value).value());
  else
    mergeTiming(std::get<TimingSummary>(Target.m_Value),
                std::get<TimingSummary>(Source.m_Value));
}

std::string formatNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  char Buffer[32];
  const auto End = std::to_chars(Buffer, std::end(Buffer), Value).ptr;
  return {Buffer, End};
}

std::string escapeLabel(std::string_view Value) {
  std::string Out;
  for (const char C : Value) {
    if (C == '\\' || C == '"')
      Out += '\\';
    Out += C == '\n' ? std::string("\\n") : std::string(1, C);
  }
  return Out;
}

std::string formatLabels(const MetricLabels &Labels,
                         std::string_view Quantile = {}) {
  std::string Out;
  const auto Append = [&](std::string_view Key, std::string_view Value) {
    Out += Out.empty() ? '{' : ',';
    Out += std::string(Key) + "=\"" + escapeLabel(Value) + '"';
  };
  for (const auto &[Key, Value] : Labels)
    Append(Key, Value);
  if (!Quantile.empty())
    Append("quantile", Quantile);
  if (!Out.empty())
    Out += '}';
  return Out;
}

void appendLine(std::string &Out, const std::string &Name,
                const std::string &Labels, const std::string &Value) {
  Out += Name + Labels + ' ' + Value + '\n';
}

/// The samples of one metric. The format requires the lines of a metric family
/// to be contiguous, so each family takes its own pass over the samples.
using SampleRange =
    std::pair<MetricsSnapshot::const_iterator, MetricsSnapshot::const_iterator>;

void appendTimings(std::string &Out, const std::string &Name,
                   SampleRange Range) {
  const auto ForEachTiming = [&](auto Fn) {
    for (auto It = Range.first; It != Range.second; ++It)
      if (const auto *T = std::get_if<TimingSummary>(&It->m_Value))
        Fn(It->m_Labels, *T);
  };
  Out += "# TYPE " + Name + " summary\n";
  ForEachTiming([&](const MetricLabels &Labels, const TimingSummary &T) {
    for (std::size_t I = 0; I < TimingQuantiles.size(); ++I)
      appendLine(Out, Name,
                 formatLabels(Labels, formatNumber(TimingQuantiles[I])),
                 formatNumber(T.m_PeriodCount > 0 ? T.m_Quantiles[I] : NAN));
    appendLine(Out, Name + "_sum", formatLabels(Labels), formatNumber(T.m_Sum));
    appendLine(Out, Name + "_count", formatLabels(Labels),
               std::to_string(T.m_Count));
  });
  Out += "# TYPE " + Name + "_max gauge\n";
  ForEachTiming([&](const MetricLabels &Labels, const TimingSummary &T) {
    appendLine(Out, Name + "_max", formatLabels(Labels), formatNumber(T.m_Max));
  });
  Out += "# TYPE " + Name + "_mean gauge\n";
  ForEachTiming([&](const MetricLabels &Labels, const TimingSummary &T) {
    appendLine(Out, Name + "_mean", formatLabels(Labels),
               formatNumber(T.m_Mean));
  });
}

} // namespace

Timing::Accumulator Timing::makeAccumulator() {
  return Accumulator(acc::extended_p_square_probabilities = TimingQuantiles);
}

void Timing::record(Duration Value) {
  const double Seconds = std::chrono::duration<double>(Value).count();
  const std::size_t SampleIndex = acc::count(m_Accumulator);
  if (SampleIndex < FirstSampleCount)
    m_FirstSamples[SampleIndex] = Seconds;
  m_Accumulator(Seconds);
  ++m_Count;
  m_Sum += Seconds;
}

TimingSummary Timing::currentPeriod() const {
  TimingSummary Summary;
  Summary.m_PeriodCount = acc::count(m_Accumulator);
  if (Summary.m_PeriodCount == 0)
    return Summary;
  Summary.m_Mean = acc::mean(m_Accumulator);
  Summary.m_Max = acc::max(m_Accumulator);
  if (Summary.m_PeriodCount <= FirstSampleCount) {
    auto Sorted = m_FirstSamples;
    const auto Count = Summary.m_PeriodCount;
    std::sort(Sorted.begin(),
              Sorted.begin() + static_cast<std::ptrdiff_t>(Count));
    for (std::size_t I = 0; I < TimingQuantiles.size(); ++I) {
      const auto Rank = static_cast<std::size_t>(
          std::ceil(TimingQuantiles[I] * static_cast<double>(Count)));
      Summary.m_Quantiles[I] = Sorted[std::max<std::size_t>(Rank, 1) - 1];
    }
  } else {
    const auto Estimates = acc::extended_p_square(m_Accumulator);
    std::copy(Estimates.begin(), Estimates.end(), Summary.m_Quantiles.begin());
  }
  return Summary;
}

void Timing::endPeriod() {
  if (acc::count(m_Accumulator) == 0)
    return;
  m_LastPeriod = currentPeriod();
  m_Accumulator = makeAccumulator();
}

TimingSummary Timing::summary() const {
  TimingSummary Summary =
      m_LastPeriod.m_PeriodCount > 0 ? m_LastPeriod : currentPeriod();
  Summary.m_Count = m_Count;
  Summary.m_Sum = m_Sum;
  return Summary;
}

template <class T>
T &MetricsRegistry::find(
    std::map<Key, std::variant<Counter, Gauge, Timing>> &Metrics,
    std::string_view Name, const MetricLabels &Labels) {
  const auto [It, Inserted] =
      Metrics.try_emplace(Key(Name, Labels), std::in_place_type<T>);
  if (auto *Metric = std::get_if<T>(&It->second))
    return *Metric;
  return It->second.template emplace<T>();
}

namespace {
template <class T> constexpr std::size_t typeIndex() {
  return std::is_same_v<T, Counter> ? 0 : std::is_same_v<T, Gauge> ? 1 : 2;
}
} // namespace

Counter &MetricsRegistry::counter(std::string_view Name,
                                  const MetricLabels &Labels) {
  const auto Type =
      m_Types.try_emplace(std::string(Name), typeIndex<Counter>()).first;
  return find<Counter>(Type->second == typeIndex<Counter>() ? m_Metrics
                                                            : m_Mistyped,
                       Name, Labels);
}

Gauge &MetricsRegistry::gauge(std::string_view Name,
                              const MetricLabels &Labels) {
  const auto Type =
      m_Types.try_emplace(std::string(Name), typeIndex<Gauge>()).first;
  return find<Gauge>(Type->second == typeIndex<Gauge>() ? m_Metrics
                                                        : m_Mistyped,
                     Name, Labels);
}

Timing &MetricsRegistry::timing(std::string_view Name,
                                const MetricLabels &Labels) {
  const auto Type =
      m_Types.try_emplace(std::string(Name), typeIndex<Timing>()).first;
  return find<Timing>(Type->second == typeIndex<Timing>() ? m_Metrics
                                                          : m_Mistyped,
                      Name, Labels);
}

MetricsSnapshot MetricsRegistry::snapshot() const {
  MetricsSnapshot Snapshot;
  Snapshot.reserve(m_Metrics.size());
  for (const auto &[Id, Metric] : m_Metrics) {
    MetricSample Sample{Id.first, Id.second, {}};
    if (const auto *C = std::get_if<Counter>(&Metric))
      Sample.m_Value = *C;
    else if (const auto *G = std::get_if<Gauge>(&Metric))
      Sample.m_Value = *G;
    else
      Sample.m_Value = std::get<Timing>(Metric).summary();
    Snapshot.push_back(std::move(Sample));
  }
  return Snapshot;
}

void MetricsRegistry::endPeriod() {
  for (auto &[Id, Metric] : m_Metrics)
    if (auto *T = std::get_if<Timing>(&Metric))
      T->endPeriod();
}

void mergeMetrics(MetricsSnapshot &Target, const MetricsSnapshot &Source) {
  MetricsSnapshot Merged;
  Merged.reserve(Target.size() + Source.size());
  std::merge(std::make_move_iterator(Target.begin()),
             std::make_move_iterator(Target.end()), Source.begin(),
             Source.end(), std::back_inserter(Merged), isOrderedBefore);
  Target.clear();
  for (auto &Sample : Merged) {
    if (!Target.empty() && !isOrderedBefore(Target.back(), Sample))
      mergeValue(Target.back(), Sample);
    else
      Target.push_back(std::move(Sample));
  }
}

std::string formatPrometheus(const MetricsSnapshot &Snapshot) {
  std::string Out;
  for (auto It = Snapshot.begin(); It != Snapshot.end();) {
    const auto End =
        std::find_if(It, Snapshot.end(), [&](const MetricSample &Sample) {
          return Sample.m_Name != It->m_Name;
        });
    if (std::holds_alternative<TimingSummary>(It->m_Value)) {
      appendTimings(Out, It->m_Name, {It, End});
      It = End;
      continue;
    }
    const bool IsCounter = std::holds_alternative<Counter>(It->m_Value);
    Out += "# TYPE " + It->m_Name + (IsCounter ? " counter\n" : " gauge\n");
    for (; It != End; ++It) {
      if (const auto *C = std::get_if<Counter>(&It->m_Value))
        appendLine(Out, It->m_Name, formatLabels(It->m_Labels),
                   std::to_string(C->value()));
      else if (const auto *G = std::get_if<Gauge>(&It->m_Value))
        appendLine(Out, It->m_Name, formatLabels(It->m_Labels),
                   formatNumber(G->value()));
    }
  }
  return Out;
}

} // namespace ragwortdrift
