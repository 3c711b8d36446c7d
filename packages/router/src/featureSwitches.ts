/** Optional parts of a box. Operators can turn each one off, also while the box runs. */

/** The optional parts, by name; all are on unless the settings say otherwise. */
export const FEATURE_NAMES = [
  /** Sends less to endpoints that are slower than the others of their service. */
  'paceWeighting',
  /** Tells endpoints how urgent a request is. */
  'requestUrgency',
  /** Schedules the slots of a service that is short of room. */
  'slotScheduling',
  /** Rejects the least urgent requests to a large service that is short of room. */
  'loadShedding',
  /** Keeps failing endpoints in use while the others of their service are full. */
  'ejectionLimit',
  /** Spreads the returns of callers whose service was away. */
  'returnSpreading',
  /** Reaches endpoints through other boxes where direct connections fail, and does so for other boxes. */
  'endpointTunnels',
] as const;

/** Name of an optional part. */
export type FeatureName = (typeof FEATURE_NAMES)[number];

/** Whether each optional part is on. */
export type FeatureSet = Readonly<Record<FeatureName, boolean>>;

/**
 * All optional parts on or all off.
 *
 * @example createFeatureSet(true).loadShedding // true
 */
export function createFeatureSet(isOn: boolean): FeatureSet {
  return {
    paceWeighting: isOn,
    requestUrgency: isOn,
    slotScheduling: isOn,
    loadShedding: isOn,
    ejectionLimit: isOn,
    returnSpreading: isOn,
    endpointTunnels: isOn,
  };
}

/** The switches of one box. */
export class FeatureSwitches {
  constructor(private features: FeatureSet = createFeatureSet(true)) {}

  /**
   * Whether a part is on.
   *
   * @example if (switches.isOn('requestUrgency')) headers.push(...urgency);
   */
  isOn(name: FeatureName): boolean {
    return this.features[name];
  }

  /** Replaces all switches; returns the names of those that changed. */
  replace(features: FeatureSet): FeatureName[] {
    const changed = FEATURE_NAMES.filter((name) => this.features[name] !== features[name]);
    this.features = features;
    return changed;
  }
}
