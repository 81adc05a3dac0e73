/**
 * Failure of a call to one of the platform's services. A call that failed as
 * `unavailable` had no effect. A write that failed as `answerLost` or
 * `badAnswer` may have taken effect.
 */
export type StoreError =
  | { readonly kind: "unavailable"; readonly detail: string }
  | { readonly kind: "answerLost"; readonly detail: string }
  | { readonly kind: "badAnswer"; readonly detail: string };

/** Describes a failure in one sentence. */
export function describeStoreError(error: StoreError): string {
  switch (error.kind) {
    case "unavailable":
      return `The platform's store is unavailable: ${error.detail}`;
    case "answerLost":
      return `The platform's response was lost: ${error.detail}`;
    case "badAnswer":
      return `The platform's response is invalid: ${error.detail}`;
  }
}
