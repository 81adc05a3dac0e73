/**
 * Failure of a call to one of the platform's services: `unavailable` calls had
 * no effect, and after `answerLost` or `badAnswer` a write may have taken
 * effect.
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
