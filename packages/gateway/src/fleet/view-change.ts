/** Which parts of the view a change may have affected. */
export interface ViewChange {
  readonly settings: boolean;
  readonly members: boolean;
  readonly primaries: boolean;
  readonly instances: boolean;
}

/** Change that may have affected everything, as a listing of the whole store. */
export const ALL_CHANGED: ViewChange = {
  settings: true,
  members: true,
  primaries: true,
  instances: true,
};
